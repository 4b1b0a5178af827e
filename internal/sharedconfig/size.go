package sharedconfig

// Upper bounds of what JSON adds to the names of a configuration, in bytes.
const (
	emptyConfigBytes = 256 // keys and single numbers
	classBytes       = 128 // keys and values of a Class
	serverBytes      = 40  // keys and values of a Server
	listedNameBytes  = 1   // the comma behind a name in a list
	quoteBytes       = 2
	escapedBytes     = 6 // \u and four digits
)

// EncodedBytes returns an upper bound of the length of the JSON text. It depends on the content alone.
func (c *Config) EncodedBytes() int {
	total := emptyConfigBytes
	for name := range c.Classes {
		total += encodedNameBytes(name) + classBytes
	}
	for name := range c.Servers {
		total += encodedNameBytes(name) + serverBytes
	}
	for _, names := range [][]string{c.Cordoned, c.Agents} {
		for _, name := range names {
			total += encodedNameBytes(name) + listedNameBytes
		}
	}
	return total
}

// encodedNameBytes returns an upper bound of the length of a name as a JSON string.
func encodedNameBytes(name string) int {
	total := quoteBytes
	for i := range len(name) {
		if c := name[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			total += escapedBytes
		} else {
			total++
		}
	}
	return total
}
