package leaf

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// DatasetSize is the number of keys that a service has over all versions. Each
// version holds most of them.
const DatasetSize = 2400

// absentEvery is how rarely a key is absent from a version: one in so many.
const absentKeyInterval = 23

// The columns of the two kinds of data.
var (
	tariffColumns = []string{"quote", "lane", "carrier", "weight", "price", "version"}
	fareColumns   = []string{"tap", "card", "station", "amount", "journey", "version"}
)

// fareServices are the services that hold fares; the others hold tariffs.
var fareServices = map[string]bool{
	"inspector-desk": true,
	"route-planner":  true,
	"refund-clerk":   true,
	"topup-kiosk":    true,
}

// KeyColumn returns the column whose hash places the rows of a service:
// quote for tariffs, tap for refund-clerk, and card for the other fares.
func KeyColumn(service string) string {
	switch {
	case !fareServices[service]:
		return "quote"
	case service == "refund-clerk":
		return "tap"
	default:
		return "card"
	}
}

// Columns returns the columns of a service's rows.
func Columns(service string) []string {
	if fareServices[service] {
		return fareColumns
	}
	return tariffColumns
}

// Rows returns the generated rows of one shard at one snapshot, in a fixed
// order. They depend only on the arguments. The union over all shards of a
// version is the same for every epoch, the column version names the version,
// and amounts differ from version to version.
func Rows(service string, snapshot catalog.Snapshot, shard, shardCount int) rows.Table {
	table := rows.Table{Columns: Columns(service), Rows: []rows.Row{}}
	key := table.Column(KeyColumn(service))
	for number := range DatasetSize {
		row := generateRow(service, snapshot.Version, number)
		if row != nil && ShardOf(row[key], shardCount) == shard {
			table.Rows = append(table.Rows, row)
		}
	}
	return table
}

// ShardOf returns the shard that a key is placed in.
func ShardOf(key rows.Value, shardCount int) int {
	return int(rows.KeyHash(key) % uint64(shardCount))
}

// generate returns row number n of a version, or nil if the version lacks it.
func generateRow(service string, version uint64, number int) rows.Row {
	if (uint64(number)+version)%absentKeyInterval == 0 {
		return nil
	}
	stableRandom := seededRandom(service, 0, number)
	versionRandom := seededRandom(service, version, number)
	if fareServices[service] {
		return generateFare(stableRandom, versionRandom, version, number)
	}
	return generateTariff(stableRandom, versionRandom, version, number)
}

func seededRandom(service string, version uint64, number int) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(service)^version, uint64(number)))
}

// The values that generated rows are made of.
var (
	lanes    = []string{"OTR-SPK", "SPK-OTR", "HKD-SPK", "SPK-KUH", "KUH-OBH", "OBH-ASA", "ASA-WKN", "MRN-HKD"}
	carriers = []string{"north", "coast", "harbour", "plain", "summit"}
	stations = []string{"BT", "SG", "TD", "CL", "PN", "GV", "BD", "TB", "HX", "RL"}
)

func generateTariff(stableRandom, versionRandom *rand.Rand, version uint64, number int) rows.Row {
	const weightStep, weightSteps = 50, 40
	const lowestPrice, priceSpread = 1000, 9000
	return rows.Row{
		rows.TextOf(fmt.Sprintf("Q-%d", number)),
		rows.TextOf(lanes[stableRandom.IntN(len(lanes))]),
		rows.TextOf(carriers[stableRandom.IntN(len(carriers))]),
		rows.NumberOf(float64(weightStep * (1 + stableRandom.IntN(weightSteps)))),
		rows.NumberOf(float64(lowestPrice + versionRandom.IntN(priceSpread))),
		rows.NumberOf(float64(version)),
	}
}

func generateFare(stableRandom, versionRandom *rand.Rand, version uint64, number int) rows.Row {
	const cards, journeys = 400, 900
	const lowestAmount, amountSpread = 5000, 20000
	return rows.Row{
		rows.TextOf(fmt.Sprintf("T-%d", number)),
		rows.TextOf(fmt.Sprintf("C-%d", stableRandom.IntN(cards))),
		rows.TextOf(stations[stableRandom.IntN(len(stations))]),
		rows.NumberOf(float64(lowestAmount + versionRandom.IntN(amountSpread))),
		rows.TextOf(fmt.Sprintf("J-%d", stableRandom.IntN(journeys))),
		rows.NumberOf(float64(version)),
	}
}
