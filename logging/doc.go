// Package logging creates the loggers of a process's components. Every line names its
// component. Prompts, answers and tokens must not be logged.
package logging
