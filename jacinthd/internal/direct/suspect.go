package direct

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"jacinthstage/jacinthd/internal/outbound"
	"jacinthstage/stage/catalog"
	"jacinthstage/stage/quarantine"
	"jacinthstage/stage/store"
	"jacinthstage/stage/suspect"
)

const (
	// crashProbeTimeout limits the time in which a host finds out whether a target
	// refuses new connections after one of its connections broke.
	crashProbeTimeout = 150 * time.Millisecond
	// suspectCallTimeout limits each call to the store for a suspect, and
	// suspectCallInterval is the time between two tries.
	suspectCallTimeout  = 2 * time.Second
	suspectCallInterval = 2 * time.Second
)

// Suspects keeps requests that crash targets from being sent to further ones. The
// List decides which these are; Suspects observes crashes, and keeps the refused
// requests in the store for a host that starts while no other runs. All fields but
// List must be set.
type Suspects struct {
	List    suspect.List
	Pool    *outbound.Pool
	Store   store.Objects
	Metrics *Metrics
	Log     *zap.Logger

	probes     singleflight.Group
	unanswered suspect.Attempts
}

// fingerprint returns the fingerprint of a caller's request: requests with the same
// host, path, query and body have the same one.
func (req *callerRequest) fingerprint() quarantine.Fingerprint {
	if req.content == "" {
		req.content = quarantine.NewFingerprint(req.r.Host+" "+req.r.RequestURI, req.body)
	}
	return req.content
}

// refuseSuspect refuses the request if it has crashed targets, and reports whether it
// has.
func (req *callerRequest) refuseSuspect() bool {
	if req.Suspects.List.Empty() {
		return false
	}
	until, refused := req.Suspects.List.Refused(req.fingerprint())
	if !refused {
		return false
	}
	req.Metrics.suspectsRefused.Inc()
	req.log.Info("suspect: request is not sent", zap.String("request", string(req.fingerprint())),
		zap.Strings("crashes", req.Suspects.List.Crashes(req.fingerprint())), zap.Time("until", until))
	req.fail("crashed targets", time.Until(until))
	return true
}

// connectionBroke adds a crash to the request if the process of its target has ended
// without having announced it. It is called when a connection broke with the request in
// progress.
func (req *callerRequest) connectionBroke(ctx context.Context, target catalog.Target) {
	if req.Dispatcher.IsLeaving(target) {
		return
	}
	if !req.Suspects.hasEnded(ctx, target) {
		req.noAnswer(target)
		return
	}
	req.Suspects.crashed(req.log, req.fingerprint(), target)
}

// noAnswer records that an attempt got no answer, in case the target turns out to have
// ended.
func (req *callerRequest) noAnswer(target catalog.Target) {
	req.Suspects.unanswered.Add(time.Now(), crashID(target), suspect.Attempt{Request: req.fingerprint(), ID: req.call.ID})
}

// TargetEnded adds a crash to the requests that got no answer from a target whose
// process has ended, as the list of targets shows.
func (s *Suspects) TargetEnded(target catalog.Target) {
	for _, a := range s.unanswered.Take(time.Now(), crashID(target)) {
		s.crashed(s.Log.With(zap.String("id", a.ID)), a.Request, target)
	}
}

func (s *Suspects) crashed(log *zap.Logger, fp quarantine.Fingerprint, target catalog.Target) {
	s.Metrics.crashes.Inc()
	refused := s.List.Crashed(time.Now(), fp, crashID(target))
	if len(s.List.Crashes(fp)) == 0 {
		log.Info("suspect: crash doesn't count, the same content was answered recently", zap.String("request", string(fp)), zap.String("target", target.Name))
		return
	}
	log.Warn("suspect: target ended with the request in progress", zap.String("request", string(fp)), zap.String("target", target.Name),
		zap.Strings("crashes", s.List.Crashes(fp)), zap.Int("refused", len(refused)))
	for _, other := range refused {
		go s.write(context.Background(), other)
	}
}

// crashID returns the ID of a crash of a target, which is the same on all hosts.
func crashID(t catalog.Target) string {
	return t.Name + "/" + strconv.FormatInt(t.Started.UnixMilli(), 10)
}

// hasEnded reports whether a target refuses connections, as its host does once the
// target's process has ended. A connection that is opened to find out is kept for
// later requests.
func (s *Suspects) hasEnded(ctx context.Context, target catalog.Target) bool {
	ended, _, _ := s.probes.Do(crashID(target), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
		defer cancel()
		err := s.Pool.Open(ctx, target.Address)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			s.Log.Info("suspect: unknown whether the target ended", zap.String("target", target.Name), zap.Error(err))
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return ended.(bool)
}

// answered drops the crashes of a request that got a complete answer other than an
// error.
func (req *callerRequest) answered() {
	if req.status >= http.StatusInternalServerError {
		return
	}
	fp := req.fingerprint()
	if crashes := req.Suspects.List.Crashes(fp); len(crashes) > 0 {
		req.log.Info("suspect: request was answered", zap.String("request", string(fp)), zap.Strings("crashes", crashes))
	}
	if req.Suspects.List.Answered(time.Now(), fp) {
		go req.Suspects.remove(context.WithoutCancel(req.r.Context()), fp)
	}
}

// merge adds what another host told.
func (s *Suspects) merge(from string, all []suspect.Sighting) {
	for _, fp := range s.List.Merge(time.Now(), all) {
		_, refused := s.List.Refused(fp)
		s.Log.Info("suspect: crash learned from a host", zap.String("host", from), zap.String("request", string(fp)),
			zap.Strings("crashes", s.List.Crashes(fp)), zap.Bool("refused", refused))
	}
}

// write writes a refused request to the store, and tries again until it succeeds or the
// request isn't refused any more. An object of that name that has not expired serves as
// well.
func (s *Suspects) write(ctx context.Context, fp quarantine.Fingerprint) {
	for {
		until, refused := s.List.Refused(fp)
		if !refused {
			return
		}
		err := s.put(ctx, fp, quarantine.Record{Crashes: s.List.Crashes(fp), Expires: until})
		if err == nil {
			s.Log.Info("suspect: written to the store", zap.String("request", string(fp)), zap.Time("until", until))
			return
		}
		s.Log.Warn("suspect: not written to the store", zap.String("request", string(fp)), zap.Error(err))
		time.Sleep(suspectCallInterval)
	}
}

func (s *Suspects) put(ctx context.Context, fp quarantine.Fingerprint, r quarantine.Record) error {
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	_, err := s.Store.Create(ctx, fp.Key(), r.Encode())
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	o, err := s.Store.Get(ctx, fp.Key())
	if err != nil {
		return err
	}
	if known, err := quarantine.Decode(o.Value); err == nil && time.Now().Before(known.Expires) {
		return nil
	}
	_, err = s.Store.Update(ctx, fp.Key(), o.Version, r.Encode())
	return err
}

// remove deletes a request from the store.
func (s *Suspects) remove(ctx context.Context, fp quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	o, err := s.Store.Get(ctx, fp.Key())
	if err == nil {
		err = s.Store.Delete(ctx, fp.Key(), o.Version)
	}
	s.Log.Info("suspect: deleted from the store", zap.String("request", string(fp)), zap.Error(err))
}

// Restore reads the refused requests from the store. It tries again until it succeeds
// or ctx ends.
func (s *Suspects) Restore(ctx context.Context) {
	for {
		n, err := s.readAll(ctx)
		if err == nil {
			s.Log.Info("suspect: read from the store", zap.Int("requests", n))
			return
		}
		s.Log.Warn("suspect: not read from the store", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(suspectCallInterval):
		}
	}
}

func (s *Suspects) readAll(ctx context.Context) (n int, err error) {
	after := ""
	for {
		page, err := s.list(ctx, after)
		if err != nil {
			return n, err
		}
		for _, o := range page.Objects {
			after = o.Key
			if s.restore(ctx, o) {
				n++
			}
		}
		if !page.More || len(page.Objects) == 0 {
			return n, nil
		}
	}
}

func (s *Suspects) list(ctx context.Context, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	return s.Store.List(ctx, quarantine.KeyPrefix, after)
}

// restore adds a refused request from the store, or deletes its object if it has
// expired. It reports whether it added one.
func (s *Suspects) restore(ctx context.Context, o store.Object) bool {
	fp, ok := quarantine.ParseKey(o.Key)
	r, err := quarantine.Decode(o.Value)
	if !ok || err != nil {
		s.Log.Warn("suspect: object can't be read", zap.String("key", o.Key), zap.Error(err))
		return false
	}
	if now := time.Now(); now.Before(r.Expires) {
		s.List.Restore(now, fp, r.Crashes)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	if err := s.Store.Delete(ctx, o.Key, o.Version); err != nil {
		s.Log.Warn("suspect: expired object not deleted", zap.String("key", o.Key), zap.Error(err))
	}
	return false
}
