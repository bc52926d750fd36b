package settings

import (
	"encoding/hex"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// errNotAllowed means that a key does not allow a value.
var errNotAllowed = errors.New("value not allowed")

// byteUnits lists the suffixes of TypeBytes, largest factor first.
var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
}

// Check returns an error if the key does not allow the value.
func (k Key) Check(text string) error {
	switch k.Type {
	case TypeChoice:
		if !slices.Contains(k.Choices, text) {
			return errNotAllowed
		}
		return nil
	case TypeBoolean:
		_, err := parseBoolean(text)
		return err
	case TypeHashes:
		_, err := ParseKeyHashes(text)
		return err
	default:
		return k.checkRange(text)
	}
}

func (k Key) checkRange(text string) error {
	number, err := k.parseNumber(text)
	if err != nil {
		return err
	}
	// The negated condition also rejects NaN, which fails every comparison.
	if !(number >= k.Min && number <= k.Max) {
		return errNotAllowed
	}
	return nil
}

// parseNumber parses a numeric value, a duration in seconds.
func (k Key) parseNumber(text string) (float64, error) {
	switch k.Type {
	case TypeDuration:
		duration, err := time.ParseDuration(text)
		return duration.Seconds(), err
	case TypeBytes:
		count, err := parseBytes(text)
		return float64(count), err
	case TypeInteger:
		count, err := strconv.ParseInt(text, 10, 64)
		return float64(count), err
	default:
		return strconv.ParseFloat(text, 64)
	}
}

// parseInto parses text into the field that target points to. If the text cannot
// be parsed, the field is unchanged.
func parseInto(text string, target any) error {
	switch field := target.(type) {
	case *float64:
		return parseField(field, text, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	case *int:
		return parseField(field, text, strconv.Atoi)
	case *int64:
		return parseField(field, text, parseBytes)
	case *bool:
		return parseField(field, text, parseBoolean)
	case *time.Duration:
		return parseField(field, text, time.ParseDuration)
	case *ServiceKind:
		*field = ServiceKind(text)
	case *SharePolicy:
		*field = SharePolicy(text)
	default:
		return errors.Errorf("no parser for a field of type %T", target)
	}
	return nil
}

func parseField[V any](field *V, text string, parse func(string) (V, error)) error {
	value, err := parse(text)
	if err != nil {
		return errors.WithStack(err)
	}
	*field = value
	return nil
}

func parseBoolean(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errNotAllowed
}

func parseBytes(text string) (int64, error) {
	factor := int64(1)
	for _, unit := range byteUnits {
		if strings.HasSuffix(text, unit.suffix) {
			text = strings.TrimSpace(strings.TrimSuffix(text, unit.suffix))
			factor = unit.factor
			break
		}
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if count > math.MaxInt64/factor || count < math.MinInt64/factor {
		return 0, errNotAllowed
	}
	return count * factor, nil
}

// maxKeyHashes bounds the number of API keys of a client account, because every
// node holds all of them in memory.
const maxKeyHashes = 16

// ParseKeyHashes parses a comma-separated list of API key hashes.
func ParseKeyHashes(text string) ([]KeyHash, error) {
	var hashes []KeyHash
	for _, part := range strings.Split(text, ",") {
		raw, err := hex.DecodeString(strings.TrimSpace(part))
		if err != nil || len(raw) != len(KeyHash{}) {
			return nil, errNotAllowed
		}
		hashes = append(hashes, KeyHash(raw))
	}
	if len(hashes) > maxKeyHashes {
		return nil, errNotAllowed
	}
	return hashes, nil
}

// FormatKeyHashes formats a list of API key hashes for ParseKeyHashes.
func FormatKeyHashes(hashes []KeyHash) string {
	texts := make([]string, len(hashes))
	for i, hash := range hashes {
		texts[i] = hex.EncodeToString(hash[:])
	}
	return strings.Join(texts, ",")
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}

func formatSeconds(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).String()
}
