package inventory

import (
	"bytes"
	"encoding/json"
	"fmt"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// DecodeVMList decodes the published VM list, a JSON object with the field
// "vms". Unknown fields are ignored, because the platform defines the format.
// The error is of type Problems.
func DecodeVMList(b *vanillabarrow.Bundle) (*vanillabarrow.VMList, error) {
	list := &vanillabarrow.VMList{}
	if err := json.NewDecoder(bytes.NewReader(b.Root)).Decode(list); err != nil {
		return nil, Problems{{File: string(b.Topic), Text: err.Error()}}
	}
	seen := make(map[string]bool, len(list.VMs))
	for i, vm := range list.VMs {
		field := fmt.Sprintf("vms[%d]", i)
		if vm.Name == "" {
			return nil, Problems{{File: string(b.Topic), Field: field + ".name", Text: "must not be empty"}}
		}
		if seen[vm.Name] {
			return nil, Problems{{File: string(b.Topic), Field: field + ".name", Text: fmt.Sprintf("%q is listed twice", vm.Name)}}
		}
		seen[vm.Name] = true
		if vm.State != vanillabarrow.VMLive && vm.State != vanillabarrow.VMLeaving {
			return nil, Problems{{File: string(b.Topic), Field: field + ".state", Text: fmt.Sprintf("is %q, must be live or leaving", vm.State)}}
		}
	}
	list.Version = b.Version
	return list, nil
}
