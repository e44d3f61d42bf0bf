package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/event"
)

// decodeNewerConfig decodes a configuration. It returns nil if the configuration is invalid or does
// not supersede the one in force.
func (f *follower) decodeNewerConfig(item mirror.Item) *route.Config {
	config, err := f.decoder.Config(item)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		f.metrics.configsRejected.Inc()
		event.Log(f.logger, event.ConfigRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return nil
	}
	if !f.versions.Accept(config.Version, xxhash.Sum64(item.Value), item.Era) {
		return nil
	}
	config.Reissued = f.config.Table() != nil && config.Version <= f.config.Version()
	return config
}

// applyConfig publishes the topology that a configuration needs, and then puts the configuration
// into force.
func (f *follower) applyConfig(item mirror.Item) {
	config := f.decodeNewerConfig(item)
	if config == nil {
		return
	}
	f.view.mutex.Lock()
	f.view.applyServices(config)
	f.publisher.publishLocked()
	f.view.mutex.Unlock()
	f.installConfig(config, item.Revision)
}

// installConfig puts a configuration into force. Its topology must be published before.
func (f *follower) installConfig(config *route.Config, revision uint64) {
	f.config.Install(route.NewTable(config))
	f.delegate.SetTerms(f.terms.current())
	f.metrics.configVersion.Set(float64(config.Version))
	event.Log(f.logger, event.ConfigInstalled{
		Version: config.Version, Revision: revision, Routes: len(config.Routes), Services: len(config.Services),
	})
}
