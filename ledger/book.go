package ledger

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Client is one daemon's access to the ledger. Its exported fields are set before use.
type Client struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
	// Retention is how long the ledger keeps a claim.
	Retention time.Duration
	// MaxAnswerBytes is the maximum size of an answer that is stored.
	MaxAnswerBytes int
	// Now returns the wall-clock time, with which claims are dated.
	Now func() time.Time
	// Propose sends a command to the ledger's leader, and returns once it is committed and applied.
	Propose func(ctx context.Context, key Key, data []byte) (Answer, error)
}

// Claim is the exclusive right of this daemon to run the request with a key.
type Claim struct {
	book    *Client
	key     Key
	attempt string
}

const (
	// outcomeTimeout bounds the writing of an outcome, which continues after the caller has given up.
	outcomeTimeout       = 5 * time.Second
	proposeRetryInterval = 100 * time.Millisecond
)

// Claim returns a claim if the request may run; otherwise it returns the stored answer, or an error with the reason.
func (b *Client) Claim(ctx context.Context, key Key, digest Digest, deadline time.Time) (*Claim, []byte, error) {
	c := &Claim{book: b, key: key, attempt: uuid.NewString()}
	answer, err := b.propose(ctx, &Command{
		Kind: KindClaim, Key: key, Digest: digest, At: b.Now().UnixMilli(), Deadline: deadline.UnixMilli(),
		Retention: b.Retention.Milliseconds(), Daemon: b.Daemon, Incarnation: b.Incarnation, Attempt: c.attempt,
	})
	if err != nil {
		// The claim may have been committed despite the error. The request was not sent, so the key can be released.
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
		return nil, nil, result.New(result.AnswerNotKept, "the request with key %q has finished, and its answer was not stored", key.ID)
	}
	return nil, nil, result.New(result.OutcomeUnknown, "the request with key %q may have run", key.ID)
}

// propose repeats the command until it reaches a leader. Repeats are harmless, since Command.Attempt identifies them.
func (b *Client) propose(ctx context.Context, c *Command) (Answer, error) {
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
		case <-time.After(proposeRetryInterval):
		}
	}
}

func (c *Claim) proposeOutcome(kind Kind, answer []byte, dropped bool) error {
	// The outcome is recorded even if the caller has given up, hence not its context.
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	_, err := c.book.propose(ctx, &Command{Kind: kind, Key: c.key, Attempt: c.attempt, Answer: answer, Dropped: dropped})
	return err
}

// StoreAnswer stores the answer; of an answer larger than MaxAnswerBytes only the fact that there was one.
func (c *Claim) StoreAnswer(answer []byte) error {
	if len(answer) > c.book.MaxAnswerBytes {
		return c.proposeOutcome(KindOutcome, nil, true)
	}
	return c.proposeOutcome(KindOutcome, answer, false)
}

// MarkUnknown records that the request may have run.
func (c *Claim) MarkUnknown() error {
	return c.proposeOutcome(KindUnknown, nil, false)
}

// Release makes the key available again. The request must certainly not have run.
func (c *Claim) Release() error {
	return c.proposeOutcome(KindRelease, nil, false)
}
