package server

import (
	"time"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	settings "lycheelift.example/schema/gen/settings/controld"
)

// maxRequest bounds a request of an operator or analyst, in bytes; a configuration document of the design size has
// 100 KB.
const maxRequest = 4 << 20

var access = authorizer.Procedures{
	operatorv1connect.OperatorServicePatchProcedure:      {authorizer.Operator},
	operatorv1connect.OperatorServiceMemberProcedure:     {authorizer.Operator},
	operatorv1connect.OperatorServiceShowProcedure:       {authorizer.Operator, authorizer.Analyst},
	operatorv1connect.OperatorServiceDifferenceProcedure: {authorizer.Operator, authorizer.Analyst},
	operatorv1connect.OperatorServiceHistoryProcedure:    {authorizer.Operator, authorizer.Analyst},
	operatorv1connect.OperatorServiceStatusProcedure:     {authorizer.Operator, authorizer.Analyst},
	operatorv1connect.OperatorServiceAnswersProcedure:    {authorizer.Operator, authorizer.Analyst, authorizer.Caller},
}

// loadSecurity loads the TLS certificate, key and authority that the settings specify.
func loadSecurity(s settings.Control, clock func() time.Time) (*transporter.Security, error) {
	files := transporter.Files{Certificate: s.Tls.Certificate, Key: s.Tls.Key, Authority: s.Tls.Authority}
	return transporter.NewSecurity(s.Tls.Off, files, clock, s.Listen.Operators, s.Listen.Peers)
}
