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

var structValidator = newValidator()

// validate checks each field against its validation tag and then the rules between fields. The
// rules between fields are checked only if every field is valid.
func validate(settings Settings, origins map[string]Origin) Problems {
	var problems Problems
	var failures validator.ValidationErrors
	if errors.As(structValidator.Struct(settings), &failures) {
		for _, failure := range failures {
			problems = append(problems, newProblem(failure, origins))
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return checkDependentFields(settings, origins)
}

func newValidator() *validator.Validate {
	instance := validator.New(validator.WithRequiredStructEnabled())
	instance.RegisterTagNameFunc(func(structField reflect.StructField) string { return structField.Tag.Get(tagTOML) })
	instance.RegisterCustomTypeFunc(convertAddress, netip.Addr{}, netip.AddrPort{})
	rules := map[string]validator.Func{
		"slot":            func(level validator.FieldLevel) bool { return catalog.ValidName(level.Field().String()) },
		"concrete":        func(level validator.FieldLevel) bool { return isSpecifiedOrEmpty(level.Field().String()) },
		"remote":          func(level validator.FieldLevel) bool { return isDialable(level.Field().String()) },
		"remote_or_empty": func(level validator.FieldLevel) bool { return isDialableOrEmpty(level.Field().String()) },
	}
	for name, rule := range rules {
		if err := instance.RegisterValidation(name, rule, true); err != nil {
			panic(err)
		}
	}
	return instance
}

// convertAddress passes an address to the validation rules as text. An unset address is empty.
func convertAddress(value reflect.Value) any {
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

func isSpecifiedOrEmpty(text string) bool {
	address, err := netip.ParseAddr(text)
	return text == "" || (err == nil && !address.IsUnspecified())
}

func isDialable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func isDialableOrEmpty(text string) bool { return text == "" || isDialable(text) }

// newProblem converts a validation failure to a Problem with the origin of the value.
func newProblem(failure validator.FieldError, origins map[string]Origin) Problem {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	key, _, _ = strings.Cut(key, "[")
	settingsField, _ := findField(key)
	problem := Problem{Origin: origins[key], Key: key, Expected: settingsField.expected, Found: formatValue(failure.Value())}
	if problem.Origin == (Origin{}) && failure.Tag() == "required" {
		problem.Found = "nothing"
	}
	return problem
}

func formatValue(value any) string {
	switch value := value.(type) {
	case string:
		return quoteTOML(value)
	case fmt.Stringer:
		return quoteTOML(value.String())
	default:
		return fmt.Sprint(value)
	}
}

// checkDependentFields checks the rules that involve more than one field.
func checkDependentFields(settings Settings, origins map[string]Origin) Problems {
	var problems Problems
	require := func(holds bool, key, expected string, value any) {
		if !holds {
			problems = append(problems, Problem{Origin: origins[key], Key: key, Expected: expected, Found: formatValue(value)})
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
