// Package quiet turns off what the HTTP library logs and reports by itself; the
// product has logs and metrics of its own.
//
// # Usage
//
//	quiet.Library()
package quiet

import (
	"sync"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// Library makes the HTTP library quiet. Calling it again does nothing.
var Library = sync.OnceFunc(func() {
	logx.Disable()
	stat.DisableLog()
})
