package rows

// ExtractTable decodes the table in a field of a JSON object. It returns the table and a copy of
// the object in which the field is null. If the field is missing, it returns an empty table and the
// object itself. For a large table this is cheaper than encoding/json, which scans the table twice
// before it calls UnmarshalJSON. ExtractTable does not validate the other fields, because the
// caller decodes them.
func ExtractTable(object []byte, field string) (table Table, rest []byte, err error) {
	s := &tableScanner{text: string(object)}
	start, end := -1, -1
	s.readList('{', '}', func() {
		key := s.readString()
		if !s.consume(':') {
			s.fail("a colon")
			return
		}
		if key != field {
			s.skipValue()
			return
		}
		s.skipSpace()
		start = s.offset
		s.readTable(&table)
		end = s.offset
	})
	s.expectEnd()
	switch {
	case s.err != nil:
		return Table{}, nil, s.err
	case start < 0:
		return Table{}, object, nil
	}
	rest = append(rest, object[:start]...)
	rest = append(rest, "null"...)
	return table, append(rest, object[end:]...), nil
}

// skipValue skips one value without validating its content.
func (s *tableScanner) skipValue() {
	for depth := 0; s.err == nil; {
		switch s.peek() {
		case 0:
			s.fail("a value")
		case '"':
			s.readString()
		case '{', '[':
			depth++
			s.offset++
			continue
		case '}', ']':
			depth--
			s.offset++
		default:
			s.skipScalar(depth)
		}
		if depth <= 0 {
			return
		}
	}
}

// skipScalar skips a number or a word. Within brackets (depth above 0) it also skips a comma or a
// colon.
func (s *tableScanner) skipScalar(depth int) {
	start := s.offset
	for s.offset < len(s.text) && !isScalarEnd(s.text[s.offset]) {
		s.offset++
	}
	if s.offset > start {
		return
	}
	if depth == 0 {
		s.fail("a value")
		return
	}
	s.offset++
}

func isScalarEnd(c byte) bool {
	switch c {
	case ',', ':', '}', ']', '{', '[', '"', ' ', '\t', '\n', '\r':
		return true
	default:
		return false
	}
}
