package leaf

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// DatasetSize is the number of keys of a service over all versions. Each version lacks one key in
// absentKeyInterval.
const DatasetSize = 2400

// absentKeyInterval is the distance between the keys that are absent from a version.
const absentKeyInterval = 23

// The columns of the two kinds of dataset.
var (
	tariffColumns = []string{"quote", "lane", "carrier", "weight", "price", "version"}
	fareColumns   = []string{"tap", "card", "station", "amount", "journey", "version"}
)

// fareServices are the services that hold fares. All other services hold tariffs.
var fareServices = map[string]bool{
	"inspector-desk": true,
	"route-planner":  true,
	"refund-clerk":   true,
	"topup-kiosk":    true,
}

// KeyColumn returns the column whose hash selects the shard of a row: quote for tariffs, tap for
// refund-clerk, and card for the other fares.
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

// Columns returns the column names of a service.
func Columns(service string) []string {
	if fareServices[service] {
		return fareColumns
	}
	return tariffColumns
}

// GenerateRows returns the generated rows of one shard at one snapshot in a fixed order. They
// depend only on the arguments. The union of all shards of a version is the same for every epoch.
// The version column holds the version, and prices and amounts differ between versions.
func GenerateRows(service string, snapshot catalog.Snapshot, shard, shardCount int) rows.Table {
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

// ShardOf returns the shard that holds a key.
func ShardOf(key rows.Value, shardCount int) int {
	return int(rows.KeyHash(key) % uint64(shardCount))
}

// generateRow returns the row with the given number, or nil if the version lacks it.
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

// seededRandom returns a random source for one row. Version 0 is used for the values that are equal
// in all versions.
func seededRandom(service string, version uint64, number int) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(service)^version, uint64(number)))
}

// The values of the text columns in generated rows.
var (
	lanes    = []string{"OTR-SPK", "SPK-OTR", "HKD-SPK", "SPK-KUH", "KUH-OBH", "OBH-ASA", "ASA-WKN", "MRN-HKD"}
	carriers = []string{"north", "coast", "harbour", "plain", "summit"}
	stations = []string{"BT", "SG", "TD", "CL", "PN", "GV", "BD", "TB", "HX", "RL"}
)

func generateTariff(stableRandom, versionRandom *rand.Rand, version uint64, number int) rows.Row {
	const weightStep, weightSteps = 50, 40
	const lowestPrice, priceSpread = 1000, 9000
	return rows.Row{
		rows.NewText(fmt.Sprintf("Q-%d", number)),
		rows.NewText(lanes[stableRandom.IntN(len(lanes))]),
		rows.NewText(carriers[stableRandom.IntN(len(carriers))]),
		rows.NewNumber(float64(weightStep * (1 + stableRandom.IntN(weightSteps)))),
		rows.NewNumber(float64(lowestPrice + versionRandom.IntN(priceSpread))),
		rows.NewNumber(float64(version)),
	}
}

func generateFare(stableRandom, versionRandom *rand.Rand, version uint64, number int) rows.Row {
	const cards, journeys = 400, 900
	const lowestAmount, amountSpread = 5000, 20000
	return rows.Row{
		rows.NewText(fmt.Sprintf("T-%d", number)),
		rows.NewText(fmt.Sprintf("C-%d", stableRandom.IntN(cards))),
		rows.NewText(stations[stableRandom.IntN(len(stations))]),
		rows.NewNumber(float64(lowestAmount + versionRandom.IntN(amountSpread))),
		rows.NewText(fmt.Sprintf("J-%d", stableRandom.IntN(journeys))),
		rows.NewNumber(float64(version)),
	}
}
