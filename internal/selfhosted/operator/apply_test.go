package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// fakeCatalogNode serves a catalog and applies the changes that it receives to it.
type fakeCatalogNode struct {
	t       *testing.T
	current *catalog.Catalog
	// beforeChange, if set, is called before each change with the number of earlier ones.
	beforeChange func(changesMade int)
	changesMade  int
}

func (n *fakeCatalogNode) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == api.CatalogPath {
		encoded, err := catalog.Encode(n.current)
		if err != nil {
			n.t.Error(err)
		}
		_, _ = writer.Write(encoded)
		return
	}
	var sent api.StatementRequest
	if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
		n.t.Error(err)
	}
	if n.beforeChange != nil {
		n.beforeChange(n.changesMade)
	}
	if err := n.apply(sent.Statement); err != nil {
		problem := api.NewProblem(api.ProblemConflict, err.Error())
		writer.Header().Set("Content-Type", api.ProblemContentType)
		writer.WriteHeader(problem.Status)
		_ = json.NewEncoder(writer).Encode(problem)
		return
	}
	n.changesMade++
	_ = json.NewEncoder(writer).Encode(api.StatementResponse{Kind: api.KindChange, Outcome: api.ChangeInForce, Revision: n.current.Revision})
}

func (n *fakeCatalogNode) apply(text string) error {
	statement, err := language.ParseStatement(text)
	if err != nil {
		return err
	}
	next, err := applyStatement(n.current, statement.(*language.ChangeStatement))
	if err == nil {
		n.current = next
	}
	return err
}

func startFakeCatalogNode(t *testing.T) (*fakeCatalogNode, netip.AddrPort) {
	node := &fakeCatalogNode{t: t, current: catalog.Empty()}
	server := httptest.NewServer(node)
	t.Cleanup(server.Close)
	return node, netip.MustParseAddrPort(server.Listener.Addr().String())
}

const threeChanges = `create service rate-desk shards 8 replicas 2
class spot-check on rate-desk priority 1 deadline 100ms repeatable
limit rate-desk concurrency 40
`

func TestApplyBindsEachChangeToRevision(t *testing.T) {
	node, address := startFakeCatalogNode(t)
	var output strings.Builder
	if err := newSession(&output, FormatText, address).Apply(context.Background(), "x.mica", threeChanges, false); err != nil {
		t.Fatal(err)
	}
	if node.changesMade != 3 || node.current.Services["rate-desk"].Concurrency != 40 {
		t.Errorf("got %d changes and concurrency %d, want 3 and 40", node.changesMade, node.current.Services["rate-desk"].Concurrency)
	}
	if strings.Contains(output.String(), "if revision") {
		t.Errorf("got output with the revision condition, want it hidden from operators:\n%s", output.String())
	}
}

// TestApplyStopsOnConcurrentChange makes another change to the catalog after the plan was
// written, before the first, second or third change of the plan. Apply must stop there.
func TestApplyStopsOnConcurrentChange(t *testing.T) {
	for at := range 3 {
		node, address := startFakeCatalogNode(t)
		node.beforeChange = func(changesMade int) {
			if changesMade == at {
				node.beforeChange = nil
				if err := node.apply("create service other shards 1 replicas 1"); err != nil {
					t.Error(err)
				}
			}
		}
		var output strings.Builder
		err := newSession(&output, FormatText, address).Apply(context.Background(), "x.mica", threeChanges, false)
		if err == nil || node.changesMade != at || !strings.Contains(err.Error(), "look at apply --dry-run again") {
			t.Errorf("concurrent change after %d: got %d changes and error %v, want %d changes and the hint to look at the plan again", at, node.changesMade, err, at)
		}
	}
}
