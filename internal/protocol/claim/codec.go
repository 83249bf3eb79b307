package claim

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/state/claim"
)

// ErrMalformed means that a payload is no record of claims.
var ErrMalformed = errors.New("malformed record of claims")

// Encode returns the payload of a batch.
func Encode(b claim.Batch) ([]byte, error) {
	r := &Record{FormatVersion: uint32(b.FormatVersion), Bar: b.Bar, Series: encodeSeries(b.Series)}
	index := map[claim.Holder]uint32{}
	for i := range b.Entries {
		e := &b.Entries[i]
		at, ok := index[e.Claim.Holder]
		if !ok {
			at = uint32(len(r.Holders))
			index[e.Claim.Holder] = at
			r.Holders = append(r.Holders, &Holder{Router: e.Claim.Holder.Router, Incarnation: e.Claim.Holder.Incarnation})
		}
		r.Entries = append(r.Entries, &Entry{
			Kind: uint32(e.Kind), Claim: e.Claim.ID[:], Key: e.Claim.Key[:],
			BodyHash: e.Claim.BodyHash, Holder: at,
			KeyUnixMillis: millis(e.Claim.KeyTime), UntilUnixMillis: millis(e.Until),
		})
	}
	payload, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of claims: %w", err)
	}
	return payload, nil
}

// Decode returns the batch of a payload. A batch of a newer format version
// comes without entries, since only its version can be trusted.
func Decode(payload []byte) (claim.Batch, error) {
	var r Record
	if err := proto.Unmarshal(payload, &r); err != nil {
		return claim.Batch{}, fmt.Errorf("decode record of claims: %w: %w", ErrMalformed, err)
	}
	b := claim.Batch{FormatVersion: int(r.FormatVersion), Bar: r.Bar, Series: decodeSeries(r.Series)}
	if r.FormatVersion == 0 {
		return claim.Batch{}, fmt.Errorf("decode record of claims: no format version: %w", ErrMalformed)
	}
	if b.FormatVersion > claim.FormatVersion {
		return b, nil
	}
	b.Entries = make([]claim.Entry, 0, len(r.Entries))
	for i, e := range r.Entries {
		if len(e.Claim) != len(claim.ID{}) || len(e.Key) != len(claim.Digest{}) || int(e.Holder) >= len(r.Holders) {
			return claim.Batch{}, fmt.Errorf("decode entry %d of claims: %w", i, ErrMalformed)
		}
		h := r.Holders[e.Holder]
		b.Entries = append(b.Entries, claim.Entry{
			Kind: claim.Kind(e.Kind), Until: instant(e.UntilUnixMillis),
			Claim: claim.Claim{
				ID: claim.ID(e.Claim), Key: claim.Digest(e.Key), BodyHash: e.BodyHash,
				Holder:  claim.Holder{Router: h.Router, Incarnation: h.Incarnation},
				KeyTime: instant(e.KeyUnixMillis),
			},
		})
	}
	return b, nil
}

func encodeSeries(s *claim.Series) *Series {
	if s == nil {
		return nil
	}
	return &Series{
		From: s.From, Final: s.Final,
		ClockUnixNanos: nanos(s.Clock), BarredUntilUnixNanos: nanos(s.BarredUntil),
	}
}

func decodeSeries(s *Series) *claim.Series {
	if s == nil {
		return nil
	}
	return &claim.Series{
		From: s.From, Final: s.Final,
		Clock: instantOfNanos(s.ClockUnixNanos), BarredUntil: instantOfNanos(s.BarredUntilUnixNanos),
	}
}

// nanos returns an instant in Unix nanoseconds; zero stands for none.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func instantOfNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// millis returns an instant in Unix milliseconds; zero stands for none.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func instant(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}
