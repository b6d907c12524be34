package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// applyContract checks that the contract permits the request and fills in the
// fields that the request leaves open.
func applyContract(contract *core.Contract, r *core.Request, now time.Time) *core.Error {
	if r.IsModelCall() {
		return applyModelTerms(contract, r, now)
	}
	return applyOperationTerms(contract, r, now)
}

func applyModelTerms(contract *core.Contract, r *core.Request, now time.Time) *core.Error {
	service, model := findModel(contract, r)
	if model == nil {
		return core.InvalidError("model", r.Model, strings.Join(modelNames(contract), ", "), "the contract names no such model")
	}
	if r.Adapter != "" && !slices.Contains(model.Adapters, r.Adapter) {
		return core.InvalidError("adapter", r.Adapter, strings.Join(model.Adapters, ", "), "the contract names no such adapter")
	}
	r.Service = service.Name
	r.Repeatable = true
	r.BackendKinds = service.BackendKinds
	r.HedgeShare = contract.Hedge.MaxExtraWork
	applyDefaults(r, service.Class, now, time.Duration(service.Deadline))
	return nil
}

func findModel(contract *core.Contract, r *core.Request) (*core.Service, *core.Model) {
	for i := range contract.Services {
		service := &contract.Services[i]
		if r.Service != "" && r.Service != service.Name {
			continue
		}
		if model := service.Model(r.Model); model != nil {
			return service, model
		}
	}
	return nil, nil
}

func applyOperationTerms(contract *core.Contract, r *core.Request, now time.Time) *core.Error {
	service := contract.Service(r.Service)
	if service == nil {
		return core.InvalidError("service", r.Service, "", "the contract names no such service")
	}
	operation := service.Operation(r.Operation)
	if operation == nil {
		return core.InvalidError("operation", r.Operation, strings.Join(operationNames(service), ", "), "the contract names no such operation")
	}
	r.Repeatable = operation.Idempotent
	r.BackendKinds = service.BackendKinds
	r.HedgeShare = contract.Hedge.MaxExtraWork
	if !r.Repeatable && r.IdempotencyKey == "" {
		return core.InvalidError("Idempotency-Key", "", "a key that is unique for each operation", "the operation is not idempotent and needs a key")
	}
	class := operation.Class
	if class == "" {
		class = service.Class
	}
	deadline := operation.Deadline
	if deadline == 0 {
		deadline = service.Deadline
	}
	applyDefaults(r, class, now, time.Duration(deadline))
	return nil
}

// applyDefaults sets the class if it is empty, and shortens the deadline to the
// contract's.
func applyDefaults(r *core.Request, class core.Class, now time.Time, deadline time.Duration) {
	if class == "" {
		class = core.ClassInteractive
	}
	if r.Class == "" {
		r.Class = class
	}
	if deadline == 0 {
		return
	}
	if latest := now.Add(deadline); r.Deadline.IsZero() || latest.Before(r.Deadline) {
		r.Deadline = latest
	}
}

func modelNames(contract *core.Contract) []string {
	var names []string
	for _, service := range contract.Services {
		for _, model := range service.Models {
			names = append(names, model.Name)
		}
	}
	return names
}

func operationNames(service *core.Service) []string {
	names := make([]string, 0, len(service.Operations))
	for _, operation := range service.Operations {
		names = append(names, operation.Name)
	}
	return names
}
