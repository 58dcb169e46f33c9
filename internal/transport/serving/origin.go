package serving

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/shedrock/shedrock/internal/clock"
	"github.com/shedrock/shedrock/internal/coordination/streamorigin"
	"github.com/shedrock/shedrock/internal/state/deployment"
	"github.com/shedrock/shedrock/internal/state/outcome"
	"github.com/shedrock/shedrock/internal/state/registry"
	"github.com/shedrock/shedrock/internal/transport/fleet"
)

const (
	// unknownOriginRetryAfter is the Retry-After when it is not known where a resumed stream began. Control
	// instances that did not answer may do so by then.
	unknownOriginRetryAfter = time.Second
	// noVersionRetryAfter is the Retry-After when no instance has the software version of a resumed stream. Only
	// a change of the fleet ends that.
	noVersionRetryAfter = 2 * time.Second
)

// streamOrigin is where the stream of a request began, and how this entry knows. The zero value means that it has
// not begun.
type streamOrigin struct {
	streamorigin.Origin
	begun bool
	// attempt is the number of the attempt at which it began, or 0 if the caller resumes it. isUncertain is true if that
	// attempt's instance may have been another process than it was believed to be, of another version.
	attempt     int
	isUncertain bool
	// source and took are set if the caller resumes the stream: took is how long it took to find its origin.
	source streamorigin.Source
	took   time.Duration
}

// resolveOrigin finds out where the stream began that the caller resumes. It returns the request's outcome if the
// stream cannot go on.
func (j *job) resolveOrigin(ctx context.Context) outcome.Outcome {
	r := j.request
	if j.route.Kind != deployment.Stream || !r.Resumes || r.After == 0 {
		return nil
	}
	began := clock.Now()
	origin, source := j.server.Streams.Resolve(ctx, streamorigin.KeyOf(j.team.Name, r.ResumedID), j.service)
	j.origin = streamOrigin{Origin: origin, begun: source != streamorigin.Unknown, source: source, took: clock.Since(began)}
	if !j.origin.begun {
		return outcome.NotRun{RetryAfter: unknownOriginRetryAfter, Reason: outcome.ReasonUnknownOrigin}
	}
	if !slices.ContainsFunc(j.route.Targets, func(t deployment.Target) bool { return t.Service == origin.Service && t.Weight > 0 }) {
		return outcome.NotRun{RetryAfter: noVersionRetryAfter, Reason: outcome.ReasonNoVersion}
	}
	j.service = origin.Service
	return nil
}

// recordOrigin records where the stream begins, before its first event is forwarded. A resumed stream that the caller
// does not name cannot be told from others.
func (j *job) recordOrigin() {
	if !j.origin.begun {
		// A successor that begins meanwhile reads the origin.
		j.server.mu.Lock()
		j.origin.Origin, j.origin.begun = streamorigin.Origin{Service: j.service, SoftwareVersion: j.instance.SoftwareVersion}, true
		j.origin.attempt = j.attemptNumber
		later, ok := j.server.View().SuccessorOf(j.instance)
		j.origin.isUncertain = ok && later.SoftwareVersion != j.instance.SoftwareVersion || j.server.Ends.HasRefused(j.instance.Incarnation())
		j.server.mu.Unlock()
	}
	origin := j.origin.Origin
	if j.origin.isUncertain {
		origin = streamorigin.Origin{}
	}
	j.shareOrigin(origin)
}

// shareOrigin shares where the stream began; the zero value stands for an uncertain origin.
func (j *job) shareOrigin(origin streamorigin.Origin) {
	id := j.request.ID
	if j.origin.source != "" {
		id = j.request.ResumedID
	}
	if !j.route.AllowsRetries() || id == "" {
		return
	}
	j.server.Streams.Began(streamorigin.Record{Key: streamorigin.KeyOf(j.team.Name, id), Origin: origin})
}

// correctOrigin sets that the stream has begun at a later process than was believed, or, if isUncertain, that it may have.
// Unless both have the same version, what was recorded before contradicts that, and no other entry has the stream go on.
// The server's mu must be held.
func (j *job) correctOrigin(later registry.Instance, isUncertain bool) {
	if !j.origin.begun || j.origin.SoftwareVersion == later.SoftwareVersion {
		return
	}
	correction := streamorigin.Origin{}
	if !isUncertain {
		correction = streamorigin.Origin{Service: j.origin.Service, SoftwareVersion: later.SoftwareVersion}
	}
	j.originCorrection = &correction
	j.shareOrigin(correction)
}

// corrected returns the origin with what has become known of it since. The server's mu must be held.
func (j *job) corrected() streamOrigin {
	out := j.origin
	if c := j.originCorrection; c != nil {
		out.isUncertain = *c == streamorigin.Origin{}
		if !out.isUncertain {
			out.Origin = *c
		}
	}
	return out
}

// adoptCorrection sets the origin to what has become known of it during the attempt.
func (j *job) adoptCorrection() {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.origin = j.corrected()
	j.originCorrection = nil
}

// wrongVersion returns a function that reports whether the stream may not begin or go on at an instance because
// of its software version, or nil if that applies to none.
func (j *job) wrongVersion(view *fleet.View, now time.Time) func(registry.Instance) bool {
	if j.origin.isUncertain {
		return func(registry.Instance) bool { return true }
	}
	if j.origin.begun {
		return func(in registry.Instance) bool {
			return in.SoftwareVersion != j.origin.SoftwareVersion || j.server.Ends.HasRefused(in.Incarnation())
		}
	}
	versions := view.SoftwareVersions[j.service]
	if len(versions) < 2 || j.route.Kind != deployment.Stream || !j.route.Resumable {
		return nil
	}
	contact := view.Contact
	settled := func(in registry.Instance) bool {
		return view.RecordedVersions.Allow(j.service, in.SoftwareVersion) && !contact.Unreachable(now) && versions.Settled(in.SoftwareVersion, contact.LastUnreachable, now)
	}
	if !slices.ContainsFunc(view.Instances[j.service], settled) {
		return nil
	}
	return func(in registry.Instance) bool { return !settled(in) }
}

// noVersion returns the request's outcome if none of the instances has the software version at which its stream
// began.
func (j *job) noVersion(instances []registry.Instance) outcome.Outcome {
	hasVersion := func(in registry.Instance) bool {
		return in.SoftwareVersion == j.origin.SoftwareVersion && !j.server.Ends.HasRefused(in.Incarnation())
	}
	if !j.origin.begun || !j.origin.isUncertain && slices.ContainsFunc(instances, hasVersion) {
		return nil
	}
	return j.attempts.Reject(noVersionRetryAfter, outcome.ReasonNoVersion)
}

// addTo adds to the log line of a resumed stream how its origin is known.
func (o streamOrigin) addTo(line *log.Entry) *log.Entry {
	if o.source == "" {
		return line
	}
	return line.Str("origin", string(o.source)).Str("origin_service", o.Service).Str("origin_software", o.SoftwareVersion).Dur("origin_ms", o.took)
}
