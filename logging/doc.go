// Package logging gives each part of the system its logger. Every line carries
// the part's fixed prefix. Prompts, answers and tokens are never logged.
package logging
