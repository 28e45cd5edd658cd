// Package strictjson decodes JSON into Go values and collects every fault with
// its place: bad syntax, duplicate and unknown names, wrong types and missing
// fields. Names are matched exactly. A field is required unless its tag says
// omitempty or omitzero.
package strictjson
