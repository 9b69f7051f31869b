package storage

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// PutObject stores data, which must be JSON, under name.
func (c *Client) PutObject(ctx context.Context, name string, data json.RawMessage) error {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.call(ctx, http.MethodPut, c.BaseURL+"/objects/"+url.PathEscape(name), data, nil)
}

// GetObject returns the data that is stored under name.
func (c *Client) GetObject(ctx context.Context, name string) (json.RawMessage, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var data json.RawMessage
	err := c.call(ctx, http.MethodGet, c.BaseURL+"/objects/"+url.PathEscape(name), nil, &data)
	return data, err
}
