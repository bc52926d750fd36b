package ctl

import (
	"fmt"
	"time"
)

// storedList shows the objects in which routers keep what they have learnt.
type storedList struct{ commandBase }

func (*storedList) run(s *session) error {
	ctx, cancel := s.context()
	defer cancel()
	store, err := s.store()
	if err != nil {
		return err
	}
	objects, err := store.Stored(ctx)
	if err != nil {
		return err
	}
	rows := &table{columns: []string{"KIND", "OBJECT", "RECORDS", "AGE"}}
	for _, object := range objects {
		if !object.Valid {
			rows.add(string(object.Kind), object.Name, "-", "-")
			continue
		}
		age := time.Since(object.WrittenAt).Round(time.Second)
		rows.add(string(object.Kind), object.Name, fmt.Sprint(object.Records), age.String())
	}
	return s.show(objects, rows)
}
