// Package operator serves the operators' HTTP interface of one host: changes of
// the declarations and their history, and the status, time line and usage of
// all hosts. The data of other hosts is fetched with peer calls.
package operator
