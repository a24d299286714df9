// Package forecast predicts the demand for a model a few seconds ahead from its recent course, where that is better than its average.
package forecast
