// Package strictjson decodes JSON into Go values and reports every fault with its
// location: syntax errors, duplicate and unknown fields, wrong types and missing
// fields. Field names are case-sensitive. A field is required unless its tag contains
// omitempty or omitzero.
package strictjson
