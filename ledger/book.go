package ledger

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Book is one daemon's access to the ledger; exported fields are set before use.
type Book struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
	Retention   time.Duration
	// KeptBytes is the largest answer that is kept.
	KeptBytes int
	// Now is the wall clock, which dates claims.
	Now func() time.Time
	// Propose returns after the command is committed and applied, whichever member leads.
	Propose func(ctx context.Context, key Key, data []byte) (Answer, error)
}

// Claim is a key that this daemon alone may use.
type Claim struct {
	book    *Book
	key     Key
	attempt string
}

const (
	// outcomeTimeout bounds the writing of an outcome, which goes on after the caller has gone.
	outcomeTimeout = 5 * time.Second
	proposeRetry   = 100 * time.Millisecond
)

// Claim returns the claim when the request may run; otherwise the stored answer, or the error that says why it may not.
func (b *Book) Claim(ctx context.Context, key Key, digest Digest, deadline time.Time) (*Claim, []byte, error) {
	c := &Claim{book: b, key: key, attempt: uuid.NewString()}
	answer, err := b.propose(ctx, &Command{
		Kind: KindClaim, Key: key, Digest: digest, At: b.Now().UnixMilli(), Deadline: deadline.UnixMilli(),
		Retention: b.Retention.Milliseconds(), Daemon: b.Daemon, Incarnation: b.Incarnation, Attempt: c.attempt,
	})
	if err != nil {
		// The claim may have been written all the same; nothing was sent, so the key can be given back.
		go func() { _ = c.Release() }()
		return nil, nil, err
	}
	switch answer.Verdict {
	case Granted:
		return c, nil, nil
	case Stored:
		return nil, answer.Data, nil
	case InProgress:
		return nil, nil, result.New(result.InProgress, "the request with key %q is still running", key.ID)
	case OtherRequest:
		return nil, nil, result.New(result.KeyReused, "key %q was used with another request", key.ID)
	case NotKept:
		return nil, nil, result.New(result.AnswerNotKept, "the request with key %q ran to its end", key.ID)
	}
	return nil, nil, result.New(result.OutcomeUnknown, "the request with key %q may have run", key.ID)
}

// propose sends the command again while no leader is found; the attempt makes that harmless.
func (b *Book) propose(ctx context.Context, c *Command) (Answer, error) {
	data, err := Encode(c)
	if err != nil {
		return Answer{}, result.Wrap(err, result.BadRequest, "claim cannot be encoded")
	}
	for {
		answer, err := b.Propose(ctx, c.Key, data)
		if err == nil {
			return answer, nil
		}
		if code := result.CodeOf(err); code != result.NoLeader && code != result.DaemonUnreached {
			return Answer{}, err
		}
		select {
		case <-ctx.Done():
			return Answer{}, err
		case <-time.After(proposeRetry):
		}
	}
}

func (c *Claim) settle(kind Kind, answer []byte, dropped bool) error {
	// The outcome is worth writing even when the caller has gone.
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	_, err := c.book.propose(ctx, &Command{Kind: kind, Key: c.key, Attempt: c.attempt, Answer: answer, Dropped: dropped})
	return err
}

// Done keeps the answer, or only the fact that there was one when it is too large.
func (c *Claim) Done(answer []byte) error {
	if len(answer) > c.book.KeptBytes {
		return c.settle(KindOutcome, nil, true)
	}
	return c.settle(KindOutcome, answer, false)
}

// Unknown notes that the request may have run.
func (c *Claim) Unknown() error {
	return c.settle(KindUnknown, nil, false)
}

// Release gives the key back; only for a request that certainly did not run.
func (c *Claim) Release() error {
	return c.settle(KindRelease, nil, false)
}
