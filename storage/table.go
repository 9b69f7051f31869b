package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
)

// Row is one row of the table. Revision is the table-wide sequence number of
// the transaction that last wrote it.
type Row struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Check is a condition of a transaction: the row has this revision or, if
// Revision is zero, does not exist.
type Check struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Put writes one row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Tx is a transaction: if every check holds, all puts and deletes take effect
// atomically. Each put and each delete counts as one write against the table's
// write budget.
type Tx struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Rows is the reply to a scan or a request for changes. Next is the sequence
// number to continue from.
type Rows struct {
	Rows []Row  `json:"rows"`
	Next uint64 `json:"next"`
}

type revisionReply struct {
	Revision uint64 `json:"revision"`
}

// Transact commits tx and returns its revision.
func (c *Client) Transact(ctx context.Context, tx Tx) (uint64, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var reply revisionReply
	if err := c.call(ctx, http.MethodPost, c.BaseURL+"/table/transact", tx, &reply); err != nil {
		return 0, err
	}
	return reply.Revision, nil
}

// Get returns one row. The error matches ErrMissing if the row does not exist.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var row Row
	err := c.call(ctx, http.MethodGet, c.BaseURL+"/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan returns the rows whose keys begin with prefix, in key order.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var reply Rows
	err := c.call(ctx, http.MethodGet, c.BaseURL+"/table/scan?prefix="+url.QueryEscape(prefix), nil, &reply)
	return reply.Rows, err
}

// Changes returns the rows under prefix that were written after the sequence
// number after, including deleted ones, and the sequence number to continue
// from.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64) ([]Row, uint64, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	target := c.BaseURL + "/table/changes?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10)
	var reply Rows
	err := c.call(ctx, http.MethodGet, target, nil, &reply)
	return reply.Rows, reply.Next, err
}
