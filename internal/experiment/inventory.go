// Package experiment measures fleets of real node processes on one machine.
package experiment

import (
	"encoding/json"
	"fmt"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// InventorySize is the size of a published inventory.
type InventorySize struct {
	Regions     int
	DataCentres int
	Services    int
	Targets     int
}

// FullInventorySize is the size of the long-run target.
func FullInventorySize() InventorySize {
	return InventorySize{Regions: 7, DataCentres: 21, Services: 440, Targets: 4600}
}

// fleet is a published inventory of which some nodes run.
type fleet struct {
	shape   InventorySize
	docs    []*inventory.Document
	rules   *inventory.Document
	running []*process
}

func dcName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// newFleet spreads the running nodes evenly over the data centres.
func newFleet(shape InventorySize, running []*process) *fleet {
	f := &fleet{shape: shape, running: running}
	f.rules = &inventory.Document{Kind: inventory.KindConfig, Schema: inventory.SchemaVersion}
	for i := range shape.Regions {
		f.rules.Regions = append(f.rules.Regions, vanillabarrow.Region{Name: fmt.Sprintf("region-%d", i)})
	}
	for i := range shape.Services {
		name := fmt.Sprintf("service-%03d", i)
		f.rules.Services = append(f.rules.Services, inventory.ServiceEntry{Name: name})
		f.rules.Routes = append(f.rules.Routes, vanillabarrow.Route{Name: name, PathPrefix: "/" + name, Service: name})
	}
	for i := range shape.DataCentres {
		f.docs = append(f.docs, &inventory.Document{
			Kind: inventory.KindConfig, Schema: inventory.SchemaVersion,
			DataCentres: []vanillabarrow.DataCentre{{Name: dcName(i), Region: fmt.Sprintf("region-%d", i%shape.Regions)}},
		})
	}
	for i := range shape.Targets {
		f.addTarget(i)
	}
	return f
}

// addTarget adds the i-th target with its VM. The first ones have real nodes.
func (f *fleet) addTarget(i int) {
	doc := f.docs[i%f.shape.DataCentres]
	vm := vanillabarrow.VM{
		Name:        vmName(i),
		DataCentre:  dcName(i % f.shape.DataCentres),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&0xff, i&0xff),
	}
	target := vanillabarrow.Target{
		Name:        targetName(i),
		Service:     fmt.Sprintf("service-%03d", i%f.shape.Services),
		VM:          vm.Name,
		Address:     fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&0xff, i&0xff),
		Slots:       12,
		Connections: 130,
	}
	if i < len(f.running) {
		vm.PeerAddress = f.running[i].peer
		vm.OperatorAddress = f.running[i].operator
	}
	doc.VMs = append(doc.VMs, vm)
	doc.Targets = append(doc.Targets, target)
}

func vmName(i int) string     { return fmt.Sprintf("vm-%04d", i) }
func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }

// publish publishes the inventory as a manifest with one part for each data
// centre and returns its version.
func (f *fleet) publish(p *standin.Platform) vanillabarrow.Version {
	files := []inventory.File{{Name: "rules", Bytes: standin.Marshal(f.rules)}}
	for i, doc := range f.docs {
		files = append(files, inventory.File{Name: dcName(i), Bytes: standin.Marshal(doc)})
	}
	manifest, parts := inventory.BuildManifest(files)
	for _, part := range parts {
		p.PublishIfAbsent(part.Key, part.Bytes)
	}
	return vanillabarrow.Version(p.Publish(string(vanillabarrow.TopicConfig), standin.Marshal(manifest)))
}

// change takes the n-th target out, or in again.
func (f *fleet) change(n int) {
	doc := f.docs[n%len(f.docs)]
	name := doc.Targets[0].Name
	if len(doc.OutOfService.Targets) > 0 {
		doc.OutOfService.Targets = nil
		return
	}
	doc.OutOfService.Targets = []string{name}
}

// publishVMs publishes the list of all VMs; those without a node are leaving.
func (f *fleet) publishVMs(p *standin.Platform) error {
	list := vanillabarrow.VMList{}
	n := 0
	for i := range f.shape.Targets {
		doc := f.docs[i%f.shape.DataCentres]
		vm := doc.VMs[i/f.shape.DataCentres]
		entry := vanillabarrow.VMEntry{
			Name: vm.Name, DataCentre: vm.DataCentre, PeerAddress: vm.PeerAddress, State: vanillabarrow.VMLeaving,
		}
		if n < len(f.running) {
			entry.State = vanillabarrow.VMLive
		}
		n++
		list.VMs = append(list.VMs, entry)
	}
	b, err := json.Marshal(list)
	if err != nil {
		return err
	}
	p.Publish(string(vanillabarrow.TopicVMs), b)
	return nil
}
