package standin

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
)

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Name string
	// Targets is the number of targets of the service.
	Targets int
	// Slots and Connections are the limits of each target.
	Slots       int
	Connections int
	// PathPrefix is the prefix of the service's only route.
	PathPrefix string
}

// Deployment describes the data centres, services and targets of one
// organisation.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []ServiceSpec
	// ServiceTime is the time for which a request occupies a slot of a target.
	ServiceTime time.Duration
}

// Cenovka returns the deployment of Cenovka Analytics: 11 targets of 2 services
// in 3 data centres.
func Cenovka() Deployment {
	return Deployment{
		Name:        "cenovka",
		Region:      "sk-west",
		DataCentres: []string{"sk-west-a", "sk-west-b", "sk-west-c"},
		ServiceTime: 5 * time.Millisecond,
		Services: []ServiceSpec{
			{Name: "survey-desk", Targets: 8, Slots: 12, Connections: 130, PathPrefix: "/returns"},
			{Name: "ledger-vault", Targets: 3, Slots: 12, Connections: 130, PathPrefix: "/ledgers"},
		},
	}
}

// Visites returns the deployment of Visites Mystère Laurentides: 12 targets of
// 2 services in 4 data centres.
func Visites() Deployment {
	return Deployment{
		Name:        "visites",
		Region:      "qc-sud",
		DataCentres: []string{"mtl-est", "mtl-ouest", "laval", "longueuil"},
		ServiceTime: 5 * time.Millisecond,
		Services: []ServiceSpec{
			{Name: "visites", Targets: 8, Slots: 18, Connections: 130, PathPrefix: "/visits"},
			{Name: "rapports", Targets: 4, Slots: 18, Connections: 130, PathPrefix: "/reports"},
		},
	}
}

// Placement is one target with its VM, its data centre and the addresses of the
// target and of its node.
type Placement struct {
	Target     string
	Service    string
	VM         string
	DataCentre string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// The addresses are empty until the caller of Placements has opened the
	// listeners and sets them.
	TargetAddress   string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// Placements returns the targets of the deployment, assigned to its data
// centres in rotation. Their addresses are empty.
func (d Deployment) Placements() []*Placement {
	var placements []*Placement
	for _, service := range d.Services {
		for i := range service.Targets {
			name := fmt.Sprintf("%s-%d", service.Name, i+1)
			placements = append(placements, &Placement{
				Target:      name,
				Service:     service.Name,
				VM:          "vm-" + name,
				DataCentre:  d.DataCentres[len(placements)%len(d.DataCentres)],
				Slots:       service.Slots,
				Connections: service.Connections,
			})
		}
	}
	return placements
}

// Document returns the configuration of the deployment with the given data
// centres and targets out of service.
func (d Deployment) Document(placements []*Placement, outOfService inventory.OutOfService) *inventory.Document {
	doc := &inventory.Document{Kind: inventory.KindConfig, Schema: inventory.SchemaVersion, OutOfService: outOfService}
	doc.Regions = []vanillabarrow.Region{{Name: d.Region}}
	for _, dc := range d.DataCentres {
		doc.DataCentres = append(doc.DataCentres, vanillabarrow.DataCentre{Name: dc, Region: d.Region})
	}
	for _, s := range d.Services {
		doc.Services = append(doc.Services, inventory.ServiceEntry{Name: s.Name})
		doc.Routes = append(doc.Routes, vanillabarrow.Route{Name: s.Name, PathPrefix: s.PathPrefix, Service: s.Name})
	}
	for _, p := range placements {
		doc.VMs = append(doc.VMs, vanillabarrow.VM{
			Name:            p.VM,
			DataCentre:      p.DataCentre,
			PeerAddress:     p.PeerAddress,
			OperatorAddress: p.OperatorAddress,
		})
		doc.Targets = append(doc.Targets, vanillabarrow.Target{
			Name:        p.Target,
			Service:     p.Service,
			VM:          p.VM,
			Address:     p.TargetAddress,
			Slots:       p.Slots,
			Connections: p.Connections,
		})
	}
	return doc
}

// Marshal returns the YAML of a configuration document or manifest. It panics
// if the value can't be encoded.
func Marshal(doc any) []byte {
	b, err := yaml.Marshal(doc)
	if err != nil {
		// Documents consist of strings, numbers, lists and maps, which always
		// encode.
		panic(err)
	}
	return b
}

// VMList returns the list of the VMs of the placements. A VM that is not in
// states is live.
func VMList(placements []*Placement, states map[string]vanillabarrow.VMState) *vanillabarrow.VMList {
	list := &vanillabarrow.VMList{}
	for _, p := range placements {
		state := vanillabarrow.VMLive
		if s, ok := states[p.VM]; ok {
			state = s
		}
		list.VMs = append(list.VMs, vanillabarrow.VMEntry{
			Name:        p.VM,
			DataCentre:  p.DataCentre,
			PeerAddress: p.PeerAddress,
			State:       state,
		})
	}
	return list
}
