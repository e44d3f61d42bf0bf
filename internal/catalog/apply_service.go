package catalog

func (o *CreateService) apply(e *editor) error {
	if existing, found := e.next.Services[o.Name]; found {
		return o.alreadyThere(existing)
	}
	if len(e.next.Services) >= MaximumServices {
		return refuse(CodeLimit, o.Name, "there are %d services already, which is the limit", MaximumServices)
	}
	e.putService(Service{
		Name:       o.Name,
		Replicas:   o.Replicas,
		KeyColumn:  o.KeyColumn,
		Partitions: []Partition{{Epoch: 1, Shards: o.Shards}},
	})
	return nil
}

// alreadyThere tells a repeated statement from one that contradicts what is
// there.
func (o *CreateService) alreadyThere(existing Service) error {
	same := existing.Replicas == o.Replicas && existing.KeyColumn == o.KeyColumn && existing.Newest().Shards == o.Shards
	if same {
		return refuse(CodeUnchanged, o.Name, "service %q is there already", o.Name)
	}
	return refuse(CodeDuplicate, o.Name, "there is another service %q", o.Name)
}

func (o *DropService) apply(e *editor) error {
	service, err := e.service(o.Name)
	if err != nil {
		return err
	}
	if !service.Stopped {
		return refuse(CodeInUse, o.Name, "service %q must be stopped first", o.Name)
	}
	if len(service.Leaves) > 0 {
		return refuse(CodeInUse, o.Name, "service %q still has %d leaves", o.Name, len(service.Leaves))
	}
	e.next.Services = without(e.next.Services, o.Name)
	return nil
}

// apply keeps, for each leaf, those of its shards that the new partition has;
// "add leaf" gives it others.
func (o *Repartition) apply(e *editor) error {
	service, err := e.service(o.Service)
	if err != nil {
		return err
	}
	kept := service.Partitions
	if excess := len(kept) + 1 - RetainedPartitions; excess > 0 {
		kept = kept[excess:]
	}
	partitions := make([]Partition, 0, len(kept)+1)
	partitions = append(partitions, kept...)
	next := Partition{Epoch: service.Newest().Epoch + 1, Shards: o.Shards}
	if o.Shards < service.Newest().Shards {
		service.Leaves = restrictShards(service.Leaves, o.Shards)
	}
	service.Partitions = append(partitions, next)
	e.putService(service)
	return nil
}

func (o *DefineClass) apply(e *editor) error {
	class := o.Class
	service, err := e.service(class.Service)
	if err != nil {
		return err
	}
	existing, found := service.Classes[class.Name]
	if found && existing == class {
		return refuse(CodeUnchanged, class.Name, "class %q of service %q is so already", class.Name, class.Service)
	}
	if !found && len(service.Classes) >= MaximumClasses {
		return refuse(CodeLimit, class.Name, "service %q has %d classes already, which is the limit", class.Service, MaximumClasses)
	}
	service.Classes = with(service.Classes, class.Name, class)
	e.putService(service)
	return nil
}

func (o *DropClass) apply(e *editor) error {
	service, err := e.service(o.Service)
	if err != nil {
		return err
	}
	if _, found := service.Classes[o.Name]; !found {
		return refuse(CodeUnknownClass, o.Name, "service %q has no class %q", o.Service, o.Name)
	}
	service.Classes = without(service.Classes, o.Name)
	e.putService(service)
	return nil
}

func (o *LimitService) apply(e *editor) error {
	service, err := e.service(o.Service)
	if err != nil {
		return err
	}
	if service.Concurrency == o.Concurrency {
		return refuse(CodeUnchanged, o.Service, "the limit of service %q is %d already", o.Service, o.Concurrency)
	}
	service.Concurrency = o.Concurrency
	e.putService(service)
	return nil
}

func (o *StopService) apply(e *editor) error  { return e.setStopped(o.Name, true) }
func (o *StartService) apply(e *editor) error { return e.setStopped(o.Name, false) }

func (e *editor) setStopped(name string, stopped bool) error {
	service, err := e.service(name)
	if err != nil {
		return err
	}
	if service.Stopped == stopped {
		state := "running"
		if stopped {
			state = "stopped"
		}
		return refuse(CodeUnchanged, name, "service %q is %s already", name, state)
	}
	service.Stopped = stopped
	e.putService(service)
	return nil
}
