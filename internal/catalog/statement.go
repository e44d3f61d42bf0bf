package catalog

import (
	"fmt"
	"strconv"
	"strings"
)

func (o *CreateService) formatStatement() string {
	text := fmt.Sprintf("create service %s shards %d replicas %d", o.Name, o.Shards, o.Replicas)
	if o.KeyColumn != "" {
		text += " key " + o.KeyColumn
	}
	return text
}

func (o *DropService) formatStatement() string  { return "drop service " + o.Name }
func (o *StopService) formatStatement() string  { return "stop service " + o.Name }
func (o *StartService) formatStatement() string { return "start service " + o.Name }
func (o *RetireLeaf) formatStatement() string   { return "retire leaf " + o.Address.String() }
func (o *RemoveLeaf) formatStatement() string   { return "remove leaf " + o.Address.String() }
func (o *RemoveVoter) formatStatement() string  { return "remove voter " + o.Name }

func (o *Repartition) formatStatement() string {
	return fmt.Sprintf("repartition service %s shards %d", o.Service, o.Shards)
}

func (o *DefineClass) formatStatement() string {
	class := o.Class
	var text strings.Builder
	fmt.Fprintf(&text, "class %s on %s priority %d deadline %s coverage %s",
		class.Name, class.Service, class.Priority, class.Deadline, formatDecimal(class.Coverage, 0))
	if class.HedgePercentile != 0 {
		text.WriteString(" hedge after p" + formatDecimal(class.HedgePercentile, 2))
	}
	text.WriteString(" extra " + formatDecimal(class.ExtraLoad, 2) + "%")
	if class.Repeatable {
		text.WriteString(" repeatable")
	} else {
		text.WriteString(" once")
	}
	return text.String()
}

func (o *DropClass) formatStatement() string { return "drop class " + o.Name + " on " + o.Service }

func (o *AddLeaf) formatStatement() string {
	return fmt.Sprintf("add leaf %s to %s zone %s shards %s", o.Address, o.Service, o.Zone, FormatShards(o.Shards))
}

func (o *LimitService) formatStatement() string {
	return fmt.Sprintf("limit %s concurrency %d", o.Service, o.Concurrency)
}

func (o *AddVoter) formatStatement() string {
	return fmt.Sprintf("add voter %s zone %s", o.Voter.Name, o.Voter.Zone)
}

// FormatShards returns the shard numbers separated by commas, as they appear in a statement.
func FormatShards(shards []int) string {
	numbers := make([]string, len(shards))
	for i, shard := range shards {
		numbers[i] = strconv.Itoa(shard)
	}
	return strings.Join(numbers, ",")
}

// formatDecimal returns value times ten to the power of places in plain decimal notation. It shifts
// the decimal point in the text, so that shifting it back restores exactly the same value. A
// floating-point multiplication would round.
func formatDecimal(value float64, places int) string {
	if value == 0 {
		return "0"
	}
	mantissa, exponentText, _ := strings.Cut(strconv.FormatFloat(value, 'e', -1, 64), "e")
	digits := strings.Replace(mantissa, ".", "", 1)
	exponent, _ := strconv.Atoi(exponentText)
	point := exponent + 1 + places
	if point <= 0 {
		digits = strings.Repeat("0", 1-point) + digits
		point = 1
	}
	if len(digits) < point {
		digits += strings.Repeat("0", point-len(digits))
	}
	if len(digits) == point {
		return digits
	}
	return digits[:point] + "." + digits[point:]
}
