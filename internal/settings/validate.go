package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/micaplank/micaplank/internal/catalog"
)

var checker = newChecker()

func check(settings Settings, origins map[string]Origin) Problems {
	var problems Problems
	var failures validator.ValidationErrors
	if errors.As(checker.Struct(settings), &failures) {
		for _, failure := range failures {
			problems = append(problems, problemOf(failure, origins))
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return checkTogether(settings, origins)
}

func newChecker() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(member reflect.StructField) string { return member.Tag.Get(tagTOML) })
	checker.RegisterCustomTypeFunc(addressText, netip.Addr{}, netip.AddrPort{})
	rules := map[string]validator.Func{
		"slot":            func(level validator.FieldLevel) bool { return catalog.ValidName(level.Field().String()) },
		"concrete":        func(level validator.FieldLevel) bool { return isConcrete(level.Field().String()) },
		"remote":          func(level validator.FieldLevel) bool { return isRemote(level.Field().String()) },
		"remote_or_empty": func(level validator.FieldLevel) bool { return isRemoteOrEmpty(level.Field().String()) },
	}
	for name, rule := range rules {
		if err := checker.RegisterValidation(name, rule, true); err != nil {
			panic(err)
		}
	}
	return checker
}

// addressText lets the rules see addresses as text; an unset one is empty.
func addressText(value reflect.Value) any {
	switch address := value.Interface().(type) {
	case netip.Addr:
		if address.IsValid() {
			return address.String()
		}
	case netip.AddrPort:
		if address.IsValid() {
			return address.String()
		}
	}
	return ""
}

func isConcrete(text string) bool {
	address, err := netip.ParseAddr(text)
	return text == "" || (err == nil && !address.IsUnspecified())
}

func isRemote(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func isRemoteOrEmpty(text string) bool { return text == "" || isRemote(text) }

func problemOf(failure validator.FieldError, origins map[string]Origin) Problem {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	key, _, _ = strings.Cut(key, "[")
	known, _ := findField(key)
	problem := Problem{Origin: origins[key], Key: key, Expected: known.expect, Found: describe(failure.Value())}
	if problem.Origin == (Origin{}) && failure.Tag() == "required" {
		problem.Found = "nothing"
	}
	return problem
}

func describe(value any) string {
	switch value := value.(type) {
	case string:
		return quote(value)
	case fmt.Stringer:
		return quote(value.String())
	default:
		return fmt.Sprint(value)
	}
}

// checkTogether looks at values that depend on each other.
func checkTogether(settings Settings, origins map[string]Origin) Problems {
	var problems Problems
	require := func(holds bool, key, expected string, found any) {
		if !holds {
			problems = append(problems, Problem{Origin: origins[key], Key: key, Expected: expected, Found: describe(found)})
		}
	}
	require(!settings.AdvertisedAddress().IsUnspecified(), "advertise",
		"an IP address, since listen.peer is "+settings.Listen.Peer.String(), "")
	require(2*settings.Freshness.ExchangeInterval <= settings.Freshness.Window, "freshness.exchange_interval",
		"at most half of freshness.window ("+settings.Freshness.Window.String()+")", settings.Freshness.ExchangeInterval)
	require(settings.Membership.ProbeTimeout < settings.Membership.ProbeInterval, "membership.probe_timeout",
		"less than membership.probe_interval ("+settings.Membership.ProbeInterval.String()+")", settings.Membership.ProbeTimeout)
	require(settings.Once.Skew+settings.Freshness.Window < settings.Once.Window, "once.window",
		"more than once.skew and freshness.window together", settings.Once.Window)
	return problems
}
