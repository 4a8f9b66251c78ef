package platform

// Op is an operation of the object API, as counted in metrics.
type Op string

// The operations of the object API.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// IsWrite reports whether the operation changes an object.
func (o Op) IsWrite() bool {
	return o == OpCreate || o == OpUpdate || o == OpDelete
}
