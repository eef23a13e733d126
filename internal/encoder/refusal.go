package encoder

import "github.com/lagoonkeel/lagoonkeel/internal/handler"

type refusalJSON struct {
	Code    string `json:"code"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
}

// Refusal returns the body of the response to a refused request.
func Refusal(r *handler.Refusal) ([]byte, error) {
	return marshal(refusalJSON{
		Code:    string(r.Code()),
		Reason:  r.Reason(),
		Outcome: string(r.Outcome()),
	})
}
