package assigner

import "papayapass.dev/papayapass/internal/wirepb"

// NodeID names a node and its local backend server instance.
type NodeID string

// ServerState is the state of the local backend server as its node reports it.
type ServerState int

// States of a backend server.
const (
	ServerAbsent ServerState = iota
	ServerUp
	ServerDraining
)

// Server describes a backend server as its node announced it.
type Server struct {
	state        ServerState
	pool         string
	slots        uint32
	allowance    uint32
	checksTokens bool
	divided      bool
}

// NewServer returns the description of a backend server that is up.
func NewServer(pool string, slots, allowance uint32, divided, checksTokens bool) Server {
	return Server{
		state: ServerUp, pool: pool, slots: slots, allowance: allowance,
		divided: divided, checksTokens: checksTokens,
	}
}

// WithState returns a copy with another state.
func (s Server) WithState(state ServerState) Server {
	s.state = state
	return s
}

// State returns the state.
func (s Server) State() ServerState { return s.state }

// Pool returns the name of the pool.
func (s Server) Pool() string { return s.pool }

// Slots returns how many requests the backend server can run at once.
func (s Server) Slots() uint32 { return s.slots }

// Allowance returns how many requests the node currently lets the backend
// server run at once.
func (s Server) Allowance() uint32 { return s.allowance }

// ChecksTokens reports whether the backend server rejects older fencing tokens.
func (s Server) ChecksTokens() bool { return s.checksTokens }

// Divided reports whether the pool is divided (sharded by key), so that each
// key has one owner.
func (s Server) Divided() bool { return s.divided }

// Member is a node of the cell.
type Member struct {
	id            NodeID
	address       string
	statusAddress string
	zone          string
	incarnation   uint64
	lost          bool
	server        Server
}

// NewMember returns a member without a backend server.
func NewMember(id NodeID, address, statusAddress, zone string, incarnation uint64) Member {
	return Member{id: id, address: address, statusAddress: statusAddress, zone: zone, incarnation: incarnation}
}

// ID returns the node's name.
func (m Member) ID() NodeID { return m.id }

// Address returns the IP address and port for peers.
func (m Member) Address() string { return m.address }

// StatusAddress returns the IP address and port of the status page.
func (m Member) StatusAddress() string { return m.statusAddress }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Incarnation returns the number of the node's current start.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Lost reports whether the coordinator considers the node lost.
func (m Member) Lost() bool { return m.lost }

// Server returns the local backend server.
func (m Member) Server() Server { return m.server }

// WithServer returns a copy with another backend server.
func (m Member) WithServer(s Server) Member {
	m.server = s
	return m
}

// WithLost returns a copy that is marked as lost or not.
func (m Member) WithLost(lost bool) Member {
	m.lost = lost
	return m
}

// Restriction lists the zones and backend servers that operators have taken out
// of service.
type Restriction struct {
	zones   map[string]struct{}
	servers map[NodeID]struct{}
}

// NewRestriction returns a restriction that excludes the given zones and
// servers.
func NewRestriction(zones, servers []string) Restriction {
	r := Restriction{
		zones:   make(map[string]struct{}, len(zones)),
		servers: make(map[NodeID]struct{}, len(servers)),
	}
	for _, z := range zones {
		r.zones[z] = struct{}{}
	}
	for _, s := range servers {
		r.servers[NodeID(s)] = struct{}{}
	}
	return r
}

// Excludes reports whether operators have taken a member out of service.
func (r Restriction) Excludes(m Member) bool {
	if _, ok := r.zones[m.zone]; ok {
		return true
	}
	_, ok := r.servers[m.id]
	return ok
}

// Eligible reports whether a member may be assigned new slices.
func (r Restriction) Eligible(m Member) bool {
	return m.server.state == ServerUp && !m.lost && !r.Excludes(m)
}

// EncodeProfile returns the description of a member for its heartbeats.
func EncodeProfile(m Member, leaving bool) *wirepb.Profile {
	return &wirepb.Profile{
		Address: m.address, StatusAddress: m.statusAddress, Zone: m.zone,
		Server: EncodeServer(m.server), Leaving: leaving,
	}
}

// DecodeProfile returns the member described by a heartbeat's profile. The
// backend server of a leaving node is decoded as draining.
func DecodeProfile(id NodeID, incarnation uint64, p *wirepb.Profile) Member {
	m := NewMember(id, p.GetAddress(), p.GetStatusAddress(), p.GetZone(), incarnation)
	server := DecodeServer(p.GetServer())
	if p.GetLeaving() && server.state == ServerUp {
		server.state = ServerDraining
	}
	m.server = server
	return m
}

// EncodeServer returns the wire message for a server.
func EncodeServer(s Server) *wirepb.Server {
	return &wirepb.Server{
		State:        wirepb.ServerState(s.state),
		Pool:         s.pool,
		Slots:        s.slots,
		Allowance:    s.allowance,
		ChecksTokens: s.checksTokens,
		Divided:      s.divided,
	}
}

// DecodeServer returns the server described by a wire message.
func DecodeServer(m *wirepb.Server) Server {
	return Server{
		state:        ServerState(m.GetState()),
		pool:         m.GetPool(),
		slots:        m.GetSlots(),
		allowance:    m.GetAllowance(),
		checksTokens: m.GetChecksTokens(),
		divided:      m.GetDivided(),
	}
}

func encodeMember(m Member) *wirepb.Member {
	return &wirepb.Member{
		Node:          string(m.id),
		Address:       m.address,
		StatusAddress: m.statusAddress,
		Zone:          m.zone,
		Incarnation:   m.incarnation,
		Lost:          m.lost,
		Server:        EncodeServer(m.server),
	}
}

func decodeMember(m *wirepb.Member) Member {
	return Member{
		id:            NodeID(m.GetNode()),
		address:       m.GetAddress(),
		statusAddress: m.GetStatusAddress(),
		zone:          m.GetZone(),
		incarnation:   m.GetIncarnation(),
		lost:          m.GetLost(),
		server:        DecodeServer(m.GetServer()),
	}
}
