package system_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shedrock/shedrock/internal/settings"
	"github.com/shedrock/shedrock/platform/standin"
)

// site is a deployment of real processes that find each other by seeds. Each instance has
// a loopback address of its own, as all use the same ports.
type site struct {
	t         *testing.T
	plan      plan
	controls  []*instance
	entries   []*instance
	upstreams []*upstream
	stores    []*store
	// contract is what every version of the configuration says, and record what the
	// upstreams and stores saw.
	contract standin.Contract
	record   *standin.Record
	// links, when set, stand between all processes.
	links *links
}

// plan is what differs from one deployment to another.
type plan struct {
	controls, entries, upstreams int
	// domains is over how many failure domains they are spread, and losses how many control
	// instances may be lost with their disks at once.
	domains, losses                               int
	callersPort, readyPort, controlPort, peerPort int
	heartbeat, lease, grace, catchUp, retryWindow time.Duration
	retryRatio                                    float64
	retrySlack                                    int
	// names begins the name of every process and failure domain.
	names    string
	contract standin.Contract
	// stores is how many stores of kept context there are.
	stores int
}

// plainPlan is a small deployment.
func plainPlan(controls, entries int) plan {
	return plan{
		controls: controls, entries: entries, upstreams: 1, domains: controls + entries, losses: 1,
		callersPort: 7801, readyPort: 7802, controlPort: 7803, peerPort: 7804,
		heartbeat: 300 * time.Millisecond, lease: time.Second, grace: 8 * time.Second, catchUp: 4 * time.Second,
		retryWindow: 10 * time.Second, retryRatio: 0.2, retrySlack: 50,
		contract: standin.Plain(),
	}
}

// instance is one process. Others reach it at callers, ready and control; with links, these
// lead to where it listens.
type instance struct {
	*process
	settings                settings.Settings
	path                    string
	callers, ready, control string
}

// upstream is a stand-in of an instance that reports itself.
type upstream struct {
	*standin.Upstream
	site          *site
	name, address string
	failureDomain string
	sequence      atomic.Int64

	mu sync.Mutex
	// lives counts the incarnations; silent and leaving say what the next heartbeat tells.
	lives           int
	silent, leaving bool
}

const (
	// addressesNet and listenNet are the third bytes from which the addresses go on at which
	// processes are reached, and at which they listen behind links.
	addressesNet = 0
	listenNet    = 128
	// hostsOfNet is how many addresses have one third byte.
	hostsOfNet = 250
)

// hosts counts the instances of all deployments of this test process.
var hosts atomic.Int64

// ip returns a loopback address of this test process: its window of ports is nobody else's,
// so neither is what follows from it.
func ip(network, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+(window()-firstPort)/windowPorts, network+host/hostsOfNet, 1+host%hostsOfNet)
}

func newSite(t *testing.T, controls, entries int) *site {
	t.Helper()
	return startSite(t, plainPlan(controls, entries), nil)
}

// startSite starts a deployment whose processes reach each other over links, or directly.
func startSite(t *testing.T, p plan, l *links) *site {
	t.Helper()
	s := &site{t: t, plan: p, contract: p.contract, record: &standin.Record{}, links: l}
	var seeds []string
	for i := range p.controls {
		s.controls = append(s.controls, s.prepare(fmt.Sprint("c", i), int(hosts.Add(1)), true))
		if i < p.seeds() {
			seeds = append(seeds, s.controls[i].control)
		}
	}
	for i := range p.entries {
		s.entries = append(s.entries, s.prepare(fmt.Sprint("e", i), int(hosts.Add(1)), false))
	}
	for i := range p.stores {
		s.stores = append(s.stores, s.serveStore(i))
		s.contract.Stores = append(s.contract.Stores, s.stores[i].address)
	}
	for i := range p.upstreams {
		s.upstreams = append(s.upstreams, s.serveUpstream(i))
	}
	for _, in := range s.instances() {
		in.settings.Seeds = seeds
		in.launch(s)
	}
	return s
}

// seeds is how many control instances are named as seeds: the founders.
func (p plan) seeds() int { return min(2*p.losses+1, p.controls) }

func (s *site) instances() []*instance {
	return append(append([]*instance(nil), s.controls...), s.entries...)
}

func (s *site) domain(host int) string { return fmt.Sprint(s.plan.names, "d", host%s.plan.domains) }

// front returns where others reach a port of an instance, and where it listens for them.
func (s *site) front(name string, host, port int) (address, listen string) {
	address = fmt.Sprintf("%s:%d", ip(addressesNet, host), port)
	if s.links == nil {
		return address, address
	}
	listen = fmt.Sprintf("%s:%d", ip(listenNet, host), port)
	s.links.forward(name, address, listen)
	return address, listen
}

// prepare makes the settings of one instance.
func (s *site) prepare(name string, host int, isControl bool) *instance {
	s.t.Helper()
	p := s.plan
	name = p.names + name
	in := &instance{path: filepath.Join(s.t.TempDir(), name+".json")}
	in.settings = settings.Settings{
		Name: name, IP: ip(addressesNet, host), FailureDomain: s.domain(host), PeerPort: uint16(p.peerPort), FirstStart: true, MemoryMB: 200,
		HeartbeatMs: int(p.heartbeat.Milliseconds()), Losses: p.losses, CatchUpMs: int(p.catchUp.Milliseconds()),
		LeaseMs: int(p.lease.Milliseconds()), GraceMs: int(p.grace.Milliseconds()),
		RetryRatio: p.retryRatio, RetryWindowMs: int(p.retryWindow.Milliseconds()), RetrySlack: p.retrySlack,
	}
	if isControl {
		in.control, in.settings.Control = s.front(name, host, p.controlPort)
		in.settings.Data = filepath.Join(s.t.TempDir(), name)
		if s.links != nil {
			_, in.settings.PeerListen = s.front(name, host, p.peerPort)
		}
	} else {
		in.callers, in.settings.Callers = s.front(name, host, p.callersPort)
		in.ready, in.settings.Ready = s.front(name, host, p.readyPort)
	}
	return in
}

func (in *instance) launch(s *site) {
	s.t.Helper()
	in.write(s)
	role := "entry"
	if in.control != "" {
		role = "control"
	}
	in.process = start(s.t, "platform", role, "--config", in.path)
	s.links.attach(in.settings.Name, in.process)
}

func (in *instance) write(s *site) {
	s.t.Helper()
	text, err := json.Marshal(in.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	err = os.WriteFile(in.path, text, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
}

// wipe ends a control instance and loses its disk; it starts again at its address.
func (s *site) wipe(in *instance) {
	s.t.Helper()
	in.loseDisk(s)
	in.start()
}

// loseDisk ends a control instance and loses its disk.
func (in *instance) loseDisk(s *site) {
	s.t.Helper()
	in.kill()
	err := os.RemoveAll(in.settings.Data)
	if err != nil {
		s.t.Fatal(err)
	}
	in.settings.FirstStart = false
	in.write(s)
}

// serveUpstream serves the stand-in of an instance.
func (s *site) serveUpstream(n int) *upstream {
	s.t.Helper()
	host := int(hosts.Add(1))
	u := &upstream{
		Upstream: &standin.Upstream{Contract: s.contract, Record: s.record, Stores: map[string]*standin.Store{}},
		site:     s, name: fmt.Sprint(s.plan.names, "u", n), failureDomain: s.domain(host),
	}
	for _, k := range s.stores {
		u.Stores[k.address] = k.Store
	}
	u.address = s.serve(u.name, host, u.Upstream)
	u.restart()
	return u
}

// store is a stand-in of a store of kept context.
type store struct {
	*standin.Store
	name, address string
}

func (s *site) serveStore(n int) *store {
	s.t.Helper()
	k := &store{Store: standin.NewStore(s.record, s.contract.StoreRoom), name: fmt.Sprint(s.plan.names, "k", n)}
	k.address = s.serve(k.name, int(hosts.Add(1)), k.Store)
	return k
}

// serve serves a stand-in, and returns where processes reach it.
func (s *site) serve(name string, host int, handler http.Handler) (address string) {
	s.t.Helper()
	address, listen := s.front(name, host, standinPort)
	l, err := net.Listen("tcp", listen)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return address
}

// standinPort is where every stand-in is reached, at an address of its own.
const standinPort = 9000

// restart begins the next incarnation.
func (u *upstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lives++
	u.silent, u.leaving = false, false
	u.Start(fmt.Sprintf("%s-%d", u.name, u.lives))
}

// crash ends the incarnation without a word; it runs nothing more.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
	u.Start(fmt.Sprintf("%s-%d-gone", u.name, u.lives))
}

// leave makes the next heartbeats say that the instance will end.
func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// beat reports to one control instance.
func (u *upstream) beat(c *instance) bool {
	u.mu.Lock()
	silent, leaving := u.silent, u.leaving
	u.mu.Unlock()
	id, weights := u.State()
	b := standin.Beat{ID: id, Address: u.address, FailureDomain: u.failureDomain, Leaving: leaving, Sequence: u.sequence.Add(1), Weights: weights}
	return !silent && u.site.contract.Send(c.control, b)
}

// keepBeating reports to whichever control instance answers, until the test ends.
func (u *upstream) keepBeating() {
	stop := make(chan struct{})
	done := make(chan struct{})
	u.site.t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for n := 0; ; {
			if !u.beat(u.site.controls[n%len(u.site.controls)]) {
				n++
			}
			select {
			case <-stop:
				return
			case <-time.After(u.site.plan.heartbeat):
			}
		}
	}()
}

// put installs a configuration through one control instance.
func (s *site) put(c *instance, version int) int { return s.contract.Put(c.control, version) }

// installed returns the version that one control instance reads back; 0 when it is not sure.
func installed(c *instance) int { return standin.Installed(c.control) }

func (s *site) call(e *instance, path, id string) (int, string) {
	return s.contract.Call(e.callers, path, id)
}
