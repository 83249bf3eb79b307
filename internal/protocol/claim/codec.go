package claim

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/state/claim"
)

// ErrMalformed reports that a payload is not a valid record of claims.
var ErrMalformed = errors.New("malformed record of claims")

// Encode returns the payload of the record for a batch.
func Encode(b claim.Batch) ([]byte, error) {
	r := &Record{FormatVersion: uint32(b.FormatVersion), Bar: b.Bar, Series: encodeSeries(b.Checkpoint)}
	holderIndex := map[claim.Holder]uint32{}
	for i := range b.Entries {
		e := &b.Entries[i]
		index, ok := holderIndex[e.Claim.Holder]
		if !ok {
			index = uint32(len(r.Holders))
			holderIndex[e.Claim.Holder] = index
			r.Holders = append(r.Holders, &Holder{Router: e.Claim.Holder.Router, Incarnation: e.Claim.Holder.Incarnation})
		}
		r.Entries = append(r.Entries, &Entry{
			Kind: uint32(e.Kind), Claim: e.Claim.ID[:], Key: e.Claim.Key[:],
			BodyHash: e.Claim.BodyHash, Holder: index,
			KeyUnixMillis: toMillis(e.Claim.KeyTime), UntilUnixMillis: toMillis(e.Until),
		})
	}
	payload, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of claims: %w", err)
	}
	return payload, nil
}

// Decode returns the batch of a record's payload. A batch of a newer format
// version is returned without entries, because this program can rely only on the
// version of such a record.
func Decode(payload []byte) (claim.Batch, error) {
	var r Record
	if err := proto.Unmarshal(payload, &r); err != nil {
		return claim.Batch{}, fmt.Errorf("decode record of claims: %w: %w", ErrMalformed, err)
	}
	b := claim.Batch{FormatVersion: int(r.FormatVersion), Bar: r.Bar, Checkpoint: decodeSeries(r.Series)}
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
			Kind: claim.Kind(e.Kind), Until: fromMillis(e.UntilUnixMillis),
			Claim: claim.Claim{
				ID: claim.ID(e.Claim), Key: claim.Digest(e.Key), BodyHash: e.BodyHash,
				Holder:  claim.Holder{Router: h.Router, Incarnation: h.Incarnation},
				KeyTime: fromMillis(e.KeyUnixMillis),
			},
		})
	}
	return b, nil
}

func encodeSeries(s *claim.Checkpoint) *Series {
	if s == nil {
		return nil
	}
	return &Series{
		From: s.From, Final: s.Final,
		ClockUnixNanos: toNanos(s.Clock), BarredUntilUnixNanos: toNanos(s.BarredUntil),
	}
}

func decodeSeries(s *Series) *claim.Checkpoint {
	if s == nil {
		return nil
	}
	return &claim.Checkpoint{
		From: s.From, Final: s.Final,
		Clock: fromNanos(s.ClockUnixNanos), BarredUntil: fromNanos(s.BarredUntilUnixNanos),
	}
}

// toNanos returns t in Unix nanoseconds, or 0 if t is the zero time.
func toNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromNanos is the inverse of toNanos.
func fromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// toMillis returns t in Unix milliseconds, or 0 if t is the zero time.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromMillis is the inverse of toMillis.
func fromMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}
