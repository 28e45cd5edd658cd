// Package operator serves the operators' HTTP interface of one host: changes of
// the declarations and their history, and the status, time line and usage of
// all hosts. What other hosts know is asked for over peer calls.
package operator
