package core

// Role determines what a client may do.
type Role string

// Roles of clients.
const (
	RoleOperator Role = "operator" // everything, for every customer
	RoleCaller   Role = "caller"   // requests and reads of its own customer
)

// Principal is an authenticated client.
type Principal struct {
	Name     string
	Role     Role
	Customer CustomerID // of a caller; empty for an operator
}

// CheckCustomer returns an error with CodeForbidden unless the principal may act for the customer.
func (p Principal) CheckCustomer(c CustomerID) *Error {
	if p.Role == RoleOperator || (p.Role == RoleCaller && p.Customer == c && c != "") {
		return nil
	}
	return NotRunError(CodeForbidden, "%q may not act for customer %q", p.Name, c)
}

// CheckOperator returns an error with CodeForbidden unless the principal is an operator.
func (p Principal) CheckOperator() *Error {
	if p.Role == RoleOperator {
		return nil
	}
	return NotRunError(CodeForbidden, "%q is not an operator", p.Name)
}
