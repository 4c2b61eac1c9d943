package operations

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

const (
	keyBytes   = len(atmostonce.Key{})
	identBytes = keyBytes + len(atmostonce.Body{})
)

// encodeEntry returns the store value of a log entry.
func encodeEntry(e atmostonce.Entry, secretID uint32) ([]byte, error) {
	w := &wire.OperationLogEntry{
		TokenIncarnation: e.Token.Incarnation,
		TokenNumber:      e.Token.Number,
		Seal:             e.Seal,
		HorizonMillis:    e.Horizon,
		SecretId:         secretID,
		BaseMillis:       e.NewestKey,
		Claims:           make([]byte, 0, len(e.Claims)*identBytes),
		ResultKeys:       make([]byte, 0, len(e.Results)*keyBytes),
		ResultRan:        make([]byte, (len(e.Results)+7)/8),
	}
	for _, c := range e.Claims {
		w.Claims = append(append(w.Claims, c.Key[:]...), c.Body[:]...)
		w.ClaimTimes = append(w.ClaimTimes, c.KeyTime-e.NewestKey)
	}
	for i, r := range e.Results {
		w.ResultKeys = append(w.ResultKeys, r.Key[:]...)
		w.ResultTimes = append(w.ResultTimes, r.KeyTime-e.NewestKey)
		if r.Ran {
			w.ResultRan[i/8] |= 1 << (i % 8)
		}
	}
	return proto.Marshal(w)
}

// decodeEntry reads a store value. The entry is Unreadable if none of the secrets made its claims.
func decodeEntry(sequence uint64, value []byte, secrets *atmostonce.Secrets) (atmostonce.Entry, error) {
	w := &wire.OperationLogEntry{}
	if err := proto.Unmarshal(value, w); err != nil {
		return atmostonce.Entry{}, errors.Wrapf(err, "decode log entry %d", sequence)
	}
	claims, results := len(w.GetClaimTimes()), len(w.GetResultTimes())
	if len(w.GetClaims()) != claims*identBytes || len(w.GetResultKeys()) != results*keyBytes || len(w.GetResultRan()) != (results+7)/8 {
		return atmostonce.Entry{}, errors.Newf("log entry %d has fields of different lengths", sequence)
	}
	e := atmostonce.Entry{
		Sequence:   sequence,
		Token:      atmostonce.Token{Incarnation: w.GetTokenIncarnation(), Number: w.GetTokenNumber()},
		Seal:       w.GetSeal(),
		Horizon:    w.GetHorizonMillis(),
		NewestKey:  w.GetBaseMillis(),
		Unreadable: claims+results > 0 && !secrets.Known(w.GetSecretId()),
	}
	for i, t := range w.GetClaimTimes() {
		b := w.GetClaims()[i*identBytes:]
		ident := atmostonce.Ident{Key: atmostonce.Key(b[:keyBytes]), Body: atmostonce.Body(b[keyBytes:identBytes])}
		e.Claims = append(e.Claims, atmostonce.Claim{Ident: ident, KeyTime: w.GetBaseMillis() + t})
	}
	for i, t := range w.GetResultTimes() {
		e.Results = append(e.Results, atmostonce.Result{
			Key:     atmostonce.Key(w.GetResultKeys()[i*keyBytes:][:keyBytes]),
			KeyTime: w.GetBaseMillis() + t,
			Ran:     w.GetResultRan()[i/8]&(1<<(i%8)) != 0,
		})
	}
	return e, nil
}
