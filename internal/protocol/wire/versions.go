package wire

// Versioned is a message that carries the sender's document versions.
type Versioned interface {
	// HeldVersions returns the newest document versions that the sender holds.
	HeldVersions() Versions
}

// HeldVersions implements Versioned.
func (h Hello) HeldVersions() Versions { return h.Versions }

// HeldVersions implements Versioned.
func (h HelloReply) HeldVersions() Versions { return h.Versions }

// HeldVersions implements Versioned.
func (d Digest) HeldVersions() Versions { return d.Versions }

// HeldVersions implements Versioned.
func (s Start) HeldVersions() Versions { return s.Versions }

// HeldVersions implements Versioned.
func (s StartReply) HeldVersions() Versions { return s.Versions }

// HeldVersions implements Versioned.
func (p Probe) HeldVersions() Versions { return p.Versions }

// HeldVersions implements Versioned.
func (r ProbeReply) HeldVersions() Versions { return r.Versions }
