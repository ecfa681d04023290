package peer

import (
	"net/http"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/http1"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1"
)

func topicStateToProto(s vanillabarrow.TopicState) *controlv1.Held {
	out := &controlv1.Held{
		Topic:      string(s.Topic),
		Version:    uint64(s.Version),
		RootDigest: digestBytes(s.RootDigest),
	}
	for name, digest := range s.Parts {
		out.Parts = append(out.Parts, &controlv1.PartName{Name: name, Digest: digestBytes(digest)})
	}
	return out
}

func topicStateFromProto(m *controlv1.Held) vanillabarrow.TopicState {
	out := vanillabarrow.TopicState{
		Topic:      vanillabarrow.Topic(m.GetTopic()),
		Version:    vanillabarrow.Version(m.GetVersion()),
		RootDigest: digestString(m.GetRootDigest()),
		Parts:      make(map[string]string, len(m.GetParts())),
	}
	for _, p := range m.GetParts() {
		out.Parts[p.GetName()] = digestString(p.GetDigest())
	}
	return out
}

func patchToProto(p vanillabarrow.Patch) *controlv1.Patch {
	out := &controlv1.Patch{Name: p.Name, Digest: digestBytes(p.Digest), Content: p.Content, Held: p.Held}
	if p.Base != "" {
		out.Base = digestBytes(p.Base)
	}
	return out
}

func patchFromProto(p *controlv1.Patch) vanillabarrow.Patch {
	return vanillabarrow.Patch{
		Name:    p.GetName(),
		Digest:  digestString(p.GetDigest()),
		Base:    digestString(p.GetBase()),
		Content: p.GetContent(),
		Held:    p.GetHeld(),
	}
}

// updateToProto returns an empty message for a nil update.
func updateToProto(u *vanillabarrow.Update) *controlv1.Update {
	if u == nil {
		return &controlv1.Update{}
	}
	out := &controlv1.Update{
		Topic:   string(u.Topic),
		Version: uint64(u.Version),
		Root:    patchToProto(u.Root),
	}
	for _, p := range u.Parts {
		out.Parts = append(out.Parts, patchToProto(p))
	}
	return out
}

// updateFromProto returns nil for a message without content: a heartbeat, an
// announcement, or the response to a Fetch when the peer has nothing newer.
func updateFromProto(m *controlv1.Update) *vanillabarrow.Update {
	if m.GetVersion() == 0 || m.GetAnnounced() {
		return nil
	}
	out := &vanillabarrow.Update{
		Topic:   vanillabarrow.Topic(m.GetTopic()),
		Version: vanillabarrow.Version(m.GetVersion()),
		Root:    patchFromProto(m.GetRoot()),
	}
	for _, p := range m.GetParts() {
		out.Parts = append(out.Parts, patchFromProto(p))
	}
	return out
}

var attemptStatesToProto = map[vanillabarrow.AttemptState]controlv1.AttemptState{
	vanillabarrow.AttemptUnknown:  controlv1.AttemptState_ATTEMPT_STATE_UNSPECIFIED,
	vanillabarrow.AttemptRunning:  controlv1.AttemptState_ATTEMPT_STATE_RUNNING,
	vanillabarrow.AttemptFinished: controlv1.AttemptState_ATTEMPT_STATE_FINISHED,
	vanillabarrow.AttemptFenced:   controlv1.AttemptState_ATTEMPT_STATE_FENCED,
	vanillabarrow.AttemptFailed:   controlv1.AttemptState_ATTEMPT_STATE_FAILED,
}

func attemptStateFromProto(s controlv1.AttemptState) vanillabarrow.AttemptState {
	for state, p := range attemptStatesToProto {
		if p == s {
			return state
		}
	}
	return vanillabarrow.AttemptUnknown
}

func responseToProto(r *vanillabarrow.Response) *controlv1.Answer {
	if r == nil {
		return nil
	}
	out := &controlv1.Answer{Status: int32(r.Status), Body: r.Body}
	for name, values := range r.Header {
		field := &controlv1.HeaderField{Name: name}
		for _, value := range values {
			field.Values = append(field.Values, []byte(value))
		}
		out.Header = append(out.Header, field)
	}
	return out
}

// responseFromProto returns nil for a stored response whose head is malformed. A node of
// the previous version may have got it from its target.
func responseFromProto(m *controlv1.Answer) *vanillabarrow.Response {
	if m == nil {
		return nil
	}
	out := &vanillabarrow.Response{
		Status: int(m.GetStatus()),
		Header: vanillabarrow.Header{},
		Body:   m.GetBody(),
		Size:   int64(len(m.GetBody())),
	}
	for _, f := range m.GetHeader() {
		for _, value := range f.GetValues() {
			out.Header[f.GetName()] = append(out.Header[f.GetName()], string(value))
		}
	}
	if http1.CheckHead(out.Status, http.Header(out.Header)) != nil {
		return nil
	}
	return out
}
