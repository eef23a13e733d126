package encoder

import (
	"strconv"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
)

// incarnationBase is the base in which incarnations are encoded. They are strings, since
// JSON parsers may read numbers as float64 and lose bits of a 64-bit number.
const incarnationBase = 16

type memberJSON struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
}

type epochJSON struct {
	Base    int64        `json:"base"`
	Epoch   uint64       `json:"epoch"`
	Members []memberJSON `json:"members"`
	Proof   []string     `json:"proof"`
	Listed  []string     `json:"listed"`
	Forced  bool         `json:"forced,omitempty"`
}

// Epoch returns the log record that begins an epoch.
func Epoch(r *member.Record) ([]byte, error) {
	return marshal(epochJSON{
		Base:    int64(r.Base()),
		Epoch:   r.Epoch(),
		Members: convertAll(r.Members(), vm),
		Proof:   convertAll(r.Proof(), incarnation),
		Listed:  convertAll(r.Listed(), incarnation),
		Forced:  r.Forced(),
	})
}

func vm(v member.VM) memberJSON {
	return memberJSON{
		ID:          string(v.ID()),
		Incarnation: incarnation(v.Incarnation()),
		Address:     v.Address(),
		DataCentre:  v.DataCentre(),
	}
}

func incarnation(i member.Incarnation) string {
	return strconv.FormatUint(uint64(i), incarnationBase)
}
