package config

import (
	"reflect"
	"strings"
)

// Kind identifies a type of object.
type Kind string

// The kinds of objects.
const (
	KindModel         Kind = "Model"
	KindAdapter       Kind = "Adapter"
	KindPool          Kind = "Pool"
	KindBackendServer Kind = "BackendServer"
	KindService       Kind = "Service"
	KindClientAccount Kind = "ClientAccount"
	KindRoute         Kind = "Route"
	KindLatencyTarget Kind = "LatencyTarget"
)

// kindOrder is the order of the kinds in a canonical body and in a diff.
var kindOrder = []Kind{KindModel, KindAdapter, KindPool, KindBackendServer,
	KindService, KindClientAccount, KindRoute, KindLatencyTarget}

var kindTypes = map[Kind]reflect.Type{
	KindModel:         reflect.TypeFor[Model](),
	KindAdapter:       reflect.TypeFor[Adapter](),
	KindPool:          reflect.TypeFor[Pool](),
	KindBackendServer: reflect.TypeFor[BackendServer](),
	KindService:       reflect.TypeFor[Service](),
	KindClientAccount: reflect.TypeFor[ClientAccount](),
	KindRoute:         reflect.TypeFor[Route](),
	KindLatencyTarget: reflect.TypeFor[LatencyTarget](),
}

// structFields maps the JSON names of a struct's fields to their field indexes.
type structFields map[string]int

// fieldsByType holds the fields of every struct type that an object can contain.
// It is filled at package initialization and only read later, so it needs no
// lock.
var fieldsByType = collectFields()

func collectFields() map[reflect.Type]structFields {
	collected := make(map[reflect.Type]structFields)
	for _, t := range kindTypes {
		collected[t] = fieldsOf(t)
	}
	collected[reflect.TypeFor[Call]()] = fieldsOf(reflect.TypeFor[Call]())
	return collected
}

func fieldsOf(t reflect.Type) structFields {
	fields := make(structFields, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = i
	}
	return fields
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// add appends an object, given as a pointer to its type, to the set.
func (s *Set) add(value any) {
	switch v := value.(type) {
	case *Model:
		s.Models = append(s.Models, *v)
	case *Adapter:
		s.Adapters = append(s.Adapters, *v)
	case *Pool:
		s.Pools = append(s.Pools, *v)
	case *BackendServer:
		s.BackendServers = append(s.BackendServers, *v)
	case *Service:
		s.Services = append(s.Services, *v)
	case *ClientAccount:
		s.ClientAccounts = append(s.ClientAccounts, *v)
	case *Route:
		s.Routes = append(s.Routes, *v)
	case *LatencyTarget:
		s.LatencyTargets = append(s.LatencyTargets, *v)
	}
}

// each calls f with a pointer to every object, in the order of the kinds.
func (s *Set) each(f func(kind Kind, name string, value any)) {
	for i := range s.Models {
		f(KindModel, s.Models[i].Name, &s.Models[i])
	}
	for i := range s.Adapters {
		f(KindAdapter, s.Adapters[i].Name, &s.Adapters[i])
	}
	for i := range s.Pools {
		f(KindPool, s.Pools[i].Name, &s.Pools[i])
	}
	for i := range s.BackendServers {
		f(KindBackendServer, s.BackendServers[i].Name, &s.BackendServers[i])
	}
	for i := range s.Services {
		f(KindService, s.Services[i].Name, &s.Services[i])
	}
	for i := range s.ClientAccounts {
		f(KindClientAccount, s.ClientAccounts[i].Name, &s.ClientAccounts[i])
	}
	for i := range s.Routes {
		f(KindRoute, s.Routes[i].Name, &s.Routes[i])
	}
	for i := range s.LatencyTargets {
		f(KindLatencyTarget, s.LatencyTargets[i].Name, &s.LatencyTargets[i])
	}
}

// Len returns the number of objects in the set.
func (s *Set) Len() int {
	return len(s.Models) + len(s.Adapters) + len(s.Pools) + len(s.BackendServers) +
		len(s.Services) + len(s.ClientAccounts) + len(s.Routes) + len(s.LatencyTargets)
}
