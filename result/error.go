package result

import (
	"errors"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace    = errorx.NewNamespace("dunlinquay")
	coded        = errorx.NewType(namespace, "coded")
	codeProperty = errorx.RegisterProperty("code")
	// quiet leaves out the stack trace, which refusals at full load could not afford.
	quiet = coded.ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

// New returns an error that carries code and a formatted message.
func New(code Code, format string, args ...any) error {
	return quiet.New("%s", fmt.Sprintf(format, args...)).WithProperty(codeProperty, code)
}

// Wrap returns an error that carries code and shows cause in its message; errors.Is does not look through it.
func Wrap(cause error, code Code, format string, args ...any) error {
	return quiet.Wrap(cause, "%s", fmt.Sprintf(format, args...)).WithProperty(codeProperty, code)
}

// CodeOf returns the code that err carries, OK for nil and Unnamed when it carries none.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *errorx.Error
	if !errors.As(err, &e) {
		return Unnamed
	}
	v, ok := e.Property(codeProperty)
	if !ok {
		return Unnamed
	}
	return v.(Code)
}

// Unnamed is the code of an error that carries none.
const Unnamed Code = -1

// Message returns the text of err for people, nothing for nil: its own words, without the error library's type prefix.
func Message(err error) string {
	if err == nil {
		return ""
	}
	var e *errorx.Error
	if !errors.As(err, &e) {
		return err.Error()
	}
	if cause := e.Cause(); cause != nil {
		return e.Message() + ": " + Message(cause)
	}
	return e.Message()
}

// Text returns the numbered one-line form of err: code, name and message.
func Text(err error) string {
	code := CodeOf(err)
	if code == Unnamed {
		return err.Error()
	}
	return fmt.Sprintf("%d %s: %s", code, Lookup(code).Name, Message(err))
}

// Markdown returns the table of codes as it stands in docs/RESULT-CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | name | HTTP | exit | not run | meaning | what to do |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for i := range table {
		writeRow(&b, &table[i])
	}
	return b.String()
}

func writeRow(b *strings.Builder, info *Info) {
	status := "-"
	if info.Status != 0 {
		status = fmt.Sprint(info.Status)
	}
	notRun := "no"
	if info.NotRun {
		notRun = "yes"
	}
	fmt.Fprintf(b, "| %d | %s | %s | %d | %s | %s | %s |\n",
		info.Code, info.Name, status, info.Exit, notRun, info.Meaning, info.Next)
}
