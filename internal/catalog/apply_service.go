package catalog

func (o *CreateService) apply(e *editor) error {
	if existing, exists := e.next.Services[o.Name]; exists {
		return o.newDuplicateError(existing)
	}
	if len(e.next.Services) >= MaximumServices {
		return newError(CodeLimit, o.Name, "the catalog already has the maximum of %d services", MaximumServices)
	}
	e.putService(Service{
		Name:       o.Name,
		Replicas:   o.Replicas,
		KeyColumn:  o.KeyColumn,
		Partitions: []Partition{{Epoch: 1, Shards: o.Shards}},
	})
	return nil
}

// newDuplicateError distinguishes a repeated statement (CodeUnchanged) from one that contradicts
// the existing service (CodeDuplicate).
func (o *CreateService) newDuplicateError(existing Service) error {
	same := existing.Replicas == o.Replicas && existing.KeyColumn == o.KeyColumn && existing.NewestPartition().Shards == o.Shards
	if same {
		return newError(CodeUnchanged, o.Name, "service %q already exists", o.Name)
	}
	return newError(CodeDuplicate, o.Name, "service %q already exists with different properties", o.Name)
}

func (o *DropService) apply(e *editor) error {
	service, err := e.lookupService(o.Name)
	if err != nil {
		return err
	}
	if !service.Stopped {
		return newError(CodeInUse, o.Name, "service %q must be stopped first", o.Name)
	}
	if len(service.Leaves) > 0 {
		return newError(CodeInUse, o.Name, "service %q still has %d leaves", o.Name, len(service.Leaves))
	}
	e.next.Services = copyWithout(e.next.Services, o.Name)
	return nil
}

// apply appends a partition and removes from each leaf the shards that the new partition lacks. The
// "add leaf" statement assigns other shards.
func (o *Repartition) apply(e *editor) error {
	service, err := e.lookupService(o.Service)
	if err != nil {
		return err
	}
	kept := service.Partitions
	if excess := len(kept) + 1 - RetainedPartitions; excess > 0 {
		kept = kept[excess:]
	}
	partitions := make([]Partition, 0, len(kept)+1)
	partitions = append(partitions, kept...)
	next := Partition{Epoch: service.NewestPartition().Epoch + 1, Shards: o.Shards}
	if o.Shards < service.NewestPartition().Shards {
		service.Leaves = restrictShards(service.Leaves, o.Shards)
	}
	service.Partitions = append(partitions, next)
	e.putService(service)
	return nil
}

func (o *DefineClass) apply(e *editor) error {
	class := o.Class
	service, err := e.lookupService(class.Service)
	if err != nil {
		return err
	}
	existing, exists := service.Classes[class.Name]
	if exists && existing == class {
		return newError(CodeUnchanged, class.Name, "class %q of service %q already has this definition", class.Name, class.Service)
	}
	if !exists && len(service.Classes) >= MaximumClasses {
		return newError(CodeLimit, class.Name, "service %q already has the maximum of %d classes", class.Service, MaximumClasses)
	}
	service.Classes = copyWith(service.Classes, class.Name, class)
	e.putService(service)
	return nil
}

func (o *DropClass) apply(e *editor) error {
	service, err := e.lookupService(o.Service)
	if err != nil {
		return err
	}
	if _, exists := service.Classes[o.Name]; !exists {
		return newError(CodeUnknownClass, o.Name, "service %q has no class %q", o.Service, o.Name)
	}
	service.Classes = copyWithout(service.Classes, o.Name)
	e.putService(service)
	return nil
}

func (o *LimitService) apply(e *editor) error {
	service, err := e.lookupService(o.Service)
	if err != nil {
		return err
	}
	if service.Concurrency == o.Concurrency {
		return newError(CodeUnchanged, o.Service, "the concurrency limit of service %q is already %d", o.Service, o.Concurrency)
	}
	service.Concurrency = o.Concurrency
	e.putService(service)
	return nil
}

func (o *StopService) apply(e *editor) error  { return e.setStopped(o.Name, true) }
func (o *StartService) apply(e *editor) error { return e.setStopped(o.Name, false) }

func (e *editor) setStopped(name string, stopped bool) error {
	service, err := e.lookupService(name)
	if err != nil {
		return err
	}
	if service.Stopped == stopped {
		state := "running"
		if stopped {
			state = "stopped"
		}
		return newError(CodeUnchanged, name, "service %q is already %s", name, state)
	}
	service.Stopped = stopped
	e.putService(service)
	return nil
}
