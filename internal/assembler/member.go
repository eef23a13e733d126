package assembler

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/decoder"
	"github.com/lagoonkeel/lagoonkeel/internal/encoder"
	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/messenger"
	"github.com/lagoonkeel/lagoonkeel/internal/streamer"
)

// addMembership builds the controllers that read the platform's VM list and that
// take part in the membership protocol, and registers the service that peers ping.
func (v *VM) addMembership(address string) error {
	s := v.settings
	i, err := newIncarnation()
	if err != nil {
		return err
	}
	v.vmList = member.NewWatcher(lister.NewClient(s.VMListURL()), v.timers, v.logger)
	v.member = member.NewController(member.ControllerSpec{
		Self:     member.NewVM(member.ID(s.ID()), i, address, s.DataCentre()),
		Log:      streamer.NewClient(s.LogURL()),
		Pinger:   messenger.NewMembershipClient(v.pool),
		Listings: v.vmList,
		Timers:   v.timers,
		Logger:   v.logger,
		Decode:   decoder.Epoch,
		Encode:   encoder.Epoch,
	})

	return v.server.RegisterMembership(v.member)
}

// newIncarnation returns a random number that identifies this start of the process.
func newIncarnation() (member.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "generating the incarnation")
	}

	return member.Incarnation(binary.BigEndian.Uint64(b[:])), nil
}
