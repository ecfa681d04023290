package logging

// Names of the events. The message of every log line is one of them.
const (
	EventStarting               = "starting"
	EventListening              = "listening"
	EventReady                  = "node is ready"
	EventStopping               = "stopping"
	EventStopped                = "stopped"
	EventRequestsAborted        = "open requests cut"
	EventListenerFailed         = "listener failed"
	EventConnectionRefused      = "connection refused"
	EventClientClosed           = "client closed"
	EventTCPUserTimeoutNotSet   = "connection not limited"
	EventJobPanicked            = "job panicked"
	EventPaused                 = "node was paused"
	EventLinesDropped           = "lines left out"
	EventSettingsReloaded       = "settings reloaded"
	EventSettingsRejected       = "settings rejected"
	EventSettingsUnreadable     = "settings file not read"
	EventOperatorResponseFailed = "answer to operator failed"

	EventRequestRefused      = "request refused"
	EventAnsweredLate        = "answered after its timeout"
	EventRefusalNotDelivered = "refusal not delivered"
	EventReadAheadBound      = "read-ahead bound reached"
	EventAttemptEnded        = "attempt ended"
	EventAttemptResolved     = "attempt settled"
	EventResponseReplaced    = "answer replaced"
	EventRequestHedged       = "request hedged"
	EventResponseTruncated   = "answer broke off"
	EventAttemptRefused      = "attempt refused"
	EventAttemptFailed       = "attempt failed at the target"
	EventResponseLate        = "response came late"

	EventTargetEjected           = "target set aside"
	EventTargetReinstated        = "target regained"
	EventDataCentreBreakerOpened = "data centre set aside"
	EventDataCentreBreakerClosed = "data centre regained"
	EventRouteThrottled          = "route throttled"
	EventRouteUnthrottled        = "route no longer throttled"
	EventExpiredTargetServed     = "lapsed target served"
	EventExpiredTargetNotServed  = "lapsed target given up"
	EventHealthChecked           = "health learned"
	EventHealthCheckFailed       = "health check failed"
	EventOwnTargetLeaving        = "own target leaving"
	EventOwnTargetServing        = "own target serving again"

	EventConfigApplied          = "configuration applied"
	EventTargetAdded            = "target added"
	EventTargetRemoved          = "target removed"
	EventTargetDraining         = "target draining"
	EventTargetExpired          = "target lapsed"
	EventDataCentreOutOfService = "data centre taken out"
	EventDataCentreInService    = "data centre given back"
	EventCredentialWithdrawn    = "credential withdrawn"
	EventAllowanceOwnerChanged  = "allowance owner changed"
	EventItemsReceived          = "items learned"
	EventItemsPulled            = "items pulled"
	EventItemsSentSlowly        = "items sent slowly"
	EventItemsArrivedLate       = "items arrived late"
	EventItemRejected           = "item left out"
	EventPlatformUnavailable    = "platform lost"
	EventPlatformRecovered      = "platform regained"
	EventHistoryLost            = "platform history lost"
	EventListingChosen          = "platform listing chosen"
	EventRevisionFell           = "platform revision fell"
	EventEraChanged             = "platform era changed"
	EventResponseOutdated       = "platform response outdated"
	EventWatchUnanswered        = "platform watch unanswered"
	EventEraUnreadable          = "platform era unreadable"
	EventPlatformReadStarted    = "platform reading begun"
	EventPlatformReadStopped    = "platform reading ended"
	EventPeerConnected          = "peer followed"
	EventPeerDisconnected       = "peer lost"
	EventHintFailed             = "hint led nowhere"
	EventItemPullFailed         = "announced items not pulled"

	EventWatchFailed             = "platform watch failed"
	EventFirstReadFailed         = "first platform read failed"
	EventFallbackReadFailed      = "fallback platform read failed"
	EventRemoteReaderUnreachable = "reader elsewhere not reached"
	EventVersionApplied          = "version applied"
	EventVersionNotApplied       = "version not applied"
	EventParentDisconnected      = "parent lost"
	EventVersionFetchFailed      = "announced version not fetched"
)

// Event describes a log event, as documented in docs/LOGS.md.
type Event struct {
	// Fields lists the keys that a line may have in addition to time, level,
	// msg and vm. Values of durations, such as took and age, include the unit.
	// asOf and version are revisions of the platform, except that EventStarting
	// has the version of the program.
	Fields  []string
	Meaning string
}

// Events returns the descriptions of all events by name.
func Events() map[string]Event {
	return map[string]Event{
		EventStarting:               {[]string{"version", "profile", "dataCentre", "service", "target", "seeds", "configApply", "drain", "stabilityWindow", "leaveNotice", "waitTimeout", "drainTimeout", "abortTimeout"}, "the process starts with these settings"},
		EventListening:              {[]string{"listener", "address"}, "a listener accepts connections"},
		EventReady:                  {[]string{"asOf", "confirmedAge", "version", "peers", "platform"}, "the node accepts requests; confirmedAge is the time since the platform last confirmed the configuration"},
		EventStopping:               {[]string{"cause"}, "the node begins to shut down"},
		EventStopped:                {[]string{"error", "linesLeftOut"}, "the node has shut down"},
		EventRequestsAborted:        {[]string{"listener", "count"}, "connections whose requests were still open when the time of a stop was over, and were cut"},
		EventListenerFailed:         {[]string{"listener", "error"}, "a listener no longer accepts connections"},
		EventConnectionRefused:      {[]string{"listener", "peer"}, "a new connection was closed, because the node has as many as its descriptors or memory allow and none that may be closed for it"},
		EventClientClosed:           {[]string{"listener", "peer", "reason"}, "a connection was closed before its request was admitted: reason is memory if the request would have held too much, or displaced if the connection gave way to another"},
		EventTCPUserTimeoutNotSet:   {[]string{"listener", "error"}, "TCP_USER_TIMEOUT could not be set on a connection"},
		EventJobPanicked:            {[]string{"job", "panic", "stack"}, "a job of the worker pool, or the goroutine of an attempt, panicked and ended, which is a bug in the node"},
		EventPaused:                 {[]string{"for"}, "the process was suspended for this time; new requests wait until the configuration has been checked"},
		EventLinesDropped:           {[]string{"count"}, "number of log lines dropped since the last line of this event"},
		EventSettingsReloaded:       {[]string{"service", "before", "needsRestart"}, "the changed settings file was loaded; needsRestart is set if the target or a listening address changed"},
		EventSettingsRejected:       {[]string{"error"}, "the changed settings file is invalid; the previous settings stay in force"},
		EventSettingsUnreadable:     {[]string{"file", "error"}, "the settings file could not be read; the previous settings stay in force"},
		EventOperatorResponseFailed: {[]string{"error"}, "a response could not be sent to an operator"},

		EventAnsweredLate:        {[]string{"id", "route", "late", "body", "took"}, "the request was answered this time after the timeout of its route or the end of the time that the caller waits; body is the time from its arrival until its body was there"},
		EventRequestRefused:      {[]string{"id", "route", "tenant", "verdict", "reason", "detail", "retryAfter", "retries", "version", "took"}, "the final refusal that the caller receives; tenant is empty if none was identified, version is the configuration that was used, took the time since the request arrived"},
		EventRefusalNotDelivered: {[]string{"id", "reason", "error"}, "the caller disconnected before the refusal could be sent"},
		EventReadAheadBound:      {[]string{"reason", "client", "requests", "bytes", "responseBytes"}, "a connection has the most requests started ahead (reason requests) or bytes read ahead (bytes), or the memory for callers is used up (memory); further requests wait until responses are written"},
		EventAttemptEnded:        {[]string{"id", "attempt", "target", "hedge", "verdict", "reason", "detail", "next", "attempts", "took", "loadAge", "inFlight", "queued", "limit", "version"}, "an attempt failed, logged by the node that the caller uses; inFlight, queued and limit are the target's last reported load, loadAge the age of that report; next is set if another attempt follows, hedge if the request still ran at another target"},
		EventAttemptResolved:     {[]string{"id", "attempt", "target", "state", "took"}, "the gate reported the outcome of an attempt over another connection"},
		EventResponseReplaced:    {[]string{"id", "attempt", "target", "status", "attempts"}, "a failure response of a target was discarded for an attempt at another target"},
		EventRequestHedged:       {[]string{"id", "target", "hedgeTarget", "after", "result", "took"}, "a second attempt was sent at hedgeTarget after this time; result is won if its response was returned, lost if that of the first attempt was, refused if its gate had no free slot, failed otherwise"},
		EventResponseTruncated:   {[]string{"id", "target", "error"}, "the response was truncated, so the connection was aborted"},
		EventAttemptRefused:      {[]string{"id", "attempt", "target", "hedge", "route", "verdict", "reason", "detail", "took", "inFlight", "queued", "limit", "wait", "version"}, "the gate refused an attempt; inFlight, queued, limit and wait are its load at that time, version the configuration that was used"},
		EventAttemptFailed:       {[]string{"id", "attempt", "target", "hedge", "verdict", "reason", "detail", "took"}, "the target sent no response, one that broke off or one that is invalid; detail has the cause"},
		EventResponseLate:        {[]string{"id", "attempt", "target", "status", "took"}, "the target responded after the sending node had stopped waiting for the attempt"},

		EventTargetEjected:           {[]string{"target", "failures"}, "consecutive failures; the target receives single trial requests only"},
		EventTargetReinstated:        {[]string{"target"}, "the target responded to a request again"},
		EventDataCentreBreakerOpened: {[]string{"dataCentre", "target"}, "nodes there stopped responding, last the node of the target; the data centre receives single trial requests only"},
		EventDataCentreBreakerClosed: {[]string{"dataCentre", "target"}, "the node of the target, in the data centre, responded again"},
		EventRouteThrottled:          {[]string{"route", "target"}, "requests on the route fail downstream, last at the target; a share of them is shed"},
		EventRouteUnthrottled:        {[]string{"route", "target"}, "requests on the route are no longer shed, after a response of the target"},
		EventExpiredTargetServed:     {[]string{"target", "healthAge"}, "this node is disconnected from the platform and its own target responds to health checks, so the target is served although its registration expired"},
		EventExpiredTargetNotServed:  {[]string{"target", "healthAge"}, "the platform responds to this node without listing the target, or the target no longer responds to health checks"},
		EventHealthChecked:           {[]string{"target", "answeredBy", "ok", "shed", "warming"}, "the node's own target responded to a health check; shed is set if it rejected the check because it is at capacity, warming is the remaining warm-up time; a response to a periodic check is logged only if it differs from the one before"},
		EventOwnTargetLeaving:        {[]string{"target", "answeredBy", "checks", "healthAge"}, "this number of consecutive health checks reported that the node's own target is leaving or not healthy; the gate refuses new requests; healthAge is the time since the last successful check"},
		EventOwnTargetServing:        {[]string{"target", "answeredBy", "ok", "for"}, "a health check ended the time for which the gate refused requests because the own target was leaving: the target is healthy, or another one responded at its address"},
		EventHealthCheckFailed:       {[]string{"target", "failures", "error"}, "the node's own target did not respond to a health check, or with a malformed response"},

		EventConfigApplied:          {[]string{"asOf", "age", "routes", "services", "targets", "keptTargets", "configKept"}, "the configuration compiled from these items is in force; age is the time since the platform last confirmed it; keptTargets and configKept are there if targets, or the routes and services, are of an earlier era than the copy from which the platform was restored"},
		EventTargetAdded:            {[]string{"target", "service", "dataCentre", "asOf", "cold"}, "the platform lists a new target; cold is the remaining warm-up time"},
		EventTargetRemoved:          {[]string{"target", "service", "dataCentre", "asOf"}, "the target was removed from the configuration"},
		EventTargetDraining:         {[]string{"target", "service", "dataCentre", "asOf"}, "the target accepts no new requests"},
		EventTargetExpired:          {[]string{"target", "service", "dataCentre", "asOf"}, "the target's registration expired without an announced shutdown; its gate decides whether the target is still served"},
		EventDataCentreOutOfService: {[]string{"dataCentre", "asOf"}, "operators took the data centre out of service"},
		EventDataCentreInService:    {[]string{"dataCentre", "asOf"}, "operators returned the data centre to service"},
		EventCredentialWithdrawn:    {[]string{"tenant", "count", "asOf"}, "this number of the tenant's credentials is no longer valid, or belongs to another tenant"},
		EventAllowanceOwnerChanged:  {[]string{"group", "owner", "before"}, "the node reports its demand for a group of tenants to another node than before, because that one does not respond or is no longer the first in order"},
		EventItemsReceived:          {[]string{"from", "asOf", "items"}, "changed items were received from the platform or another node"},
		EventItemsPulled:            {[]string{"peer", "cause", "asOf", "items", "bytes", "took"}, "changed items were fetched from another node, because of a hint, an announcement or a pause of this node"},
		EventItemsSentSlowly:        {[]string{"peer", "asOf", "items", "bytes", "took", "behind"}, "another node took a delta only after this time; behind is the number of revisions that came meanwhile; the wait in socket buffers is not included"},
		EventItemsArrivedLate:       {[]string{"peer", "asOf", "items", "transit", "age"}, "a delta took this time from another node, at most, with the waits on the link and in both nodes; age is that of the sender's data when it made the delta"},
		EventItemRejected:           {[]string{"asOf", "error"}, "an item describes no valid target, or a configuration was rejected; the error gives the key, and the revision and field where they are known"},
		EventPlatformUnavailable:    {[]string{"error", "after"}, "a call to the platform failed, the first of consecutive failures; after is the last known revision"},
		EventPlatformRecovered:      {[]string{"failures"}, "a call to the platform succeeded again"},
		EventHistoryLost:            {[]string{"after"}, "the platform no longer has the changes after this revision, or does not have this revision after a restore; all items are listed again"},
		EventListingChosen:          {[]string{"cause", "after"}, "the next call lists all items in place of a watch after this revision, whose response did not arrive or would be larger"},
		EventRevisionFell:           {[]string{"asOf", "held"}, "a listing or an exact probe of the platform has a lower revision than this node held when the call began: the platform lost changes that it had acknowledged, and a listing follows; logged once until a listing begins the next era"},
		EventEraChanged:             {[]string{"from", "before", "asOf", "kept", "lost"}, "the platform was restored from an older copy, and the items of the later era are in effect; kept is the number of items of earlier eras that stay in effect because the copy has older ones, lost that of items that the copy lacks"},
		EventResponseOutdated:       {[]string{"call", "asOf", "held"}, "a response of the platform is of an earlier era than the items held when the call began; it changes nothing and counts as a failure; the first of consecutive ones is logged"},
		EventWatchUnanswered:        {[]string{"after", "waited"}, "a watch got no response within this time while the platform responded to other calls, the first of consecutive ones; listings follow, and watches with a short wait until one of full length gets a response"},
		EventEraUnreadable:          {[]string{"value"}, "a response of the platform states its era with this value, of which the first 64 bytes are logged, which is empty, repeated with different values, not a decimal number or too large; the response counts as of the era that the node holds; logged once until a response has a readable value or none"},
		EventPlatformReadStarted:    {[]string{"reader", "age", "asOf"}, "this node starts to read the platform: as a reader, or because the platform's last confirmation is too old"},
		EventPlatformReadStopped:    {[]string{"age", "asOf"}, "this node stops reading the platform; it receives the changes from other nodes"},
		EventPeerConnected:          {[]string{"slot", "peer", "asOf", "age"}, "a stream of changes from another node was opened"},
		EventPeerDisconnected:       {[]string{"slot", "peer", "failures", "error"}, "the stream of changes from another node ended"},
		EventHintFailed:             {[]string{"peer", "error"}, "a node that was reported to have a newer configuration could not be queried"},
		EventItemPullFailed:         {[]string{"peer", "error"}, "announced items could not be fetched from the node that announced them"},

		EventWatchFailed:             {[]string{"topic", "failures", "error"}, "a watch of the configuration service failed"},
		EventFirstReadFailed:         {[]string{"topic", "error"}, "the first read of a topic of the configuration service failed"},
		EventFallbackReadFailed:      {[]string{"topic", "error"}, "a node without recent contact to other nodes could not read the configuration service itself"},
		EventRemoteReaderUnreachable: {[]string{"peer", "error"}, "a reader in another data centre did not respond"},
		EventVersionApplied:          {[]string{"topic", "version", "from"}, "a published version is in force"},
		EventVersionNotApplied:       {[]string{"topic", "version", "from", "outcome", "error"}, "a published version was rejected or incomplete and is not in force"},
		EventParentDisconnected:      {[]string{"slot", "peer", "failures", "error"}, "the stream from a parent ended"},
		EventVersionFetchFailed:      {[]string{"peer", "topic", "error"}, "an announced version could not be fetched"},
	}
}
