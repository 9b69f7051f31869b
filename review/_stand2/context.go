package main

import "context"

func contextWithStart(ctx context.Context, cmd startCommand) context.Context {
	return context.WithValue(ctx, startKey{}, cmd)
}
