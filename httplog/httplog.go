// Package httplog turns off the logs and statistics of the HTTP library go-zero,
// because cowslipgap has its own logs and metrics.
//
// # Usage
//
//	httplog.Disable()
package httplog

import (
	"sync"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// Disable turns off the logs and statistics of go-zero. Calling it again does
// nothing.
var Disable = sync.OnceFunc(func() {
	logx.Disable()
	stat.DisableLog()
})
