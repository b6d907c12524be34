package main

const (
	plainPrefix  = "/lohu930/"
	oncePrefix   = "/maki771/"
	rewardPrefix = "/pufi791/"
	batchPrefix  = "/pule252/"
	streamPrefix = "/tero118/"
	model        = "daka510000"
	plainService = "wuno96b"
	modelService = "huvo11a"
)

type object = map[string]any

// configure writes a valid config with the routes of a small deployment.
func (g *rig) configure(version int, batch object) {
	routes := []object{
		{"name": "plain", "host": host, "pathPrefix": plainPrefix, "type": "safe", "timeoutMs": 4000, "targetLatencyMs": 150, "priority": 2, "service": plainService, "maxAttempts": 2},
		{"name": "once", "host": host, "pathPrefix": oncePrefix, "type": "unsafe", "timeoutMs": 4000, "targetLatencyMs": 150, "priority": 2, "service": plainService, "maxAttempts": 2},
		{"name": "reward", "host": host, "pathPrefix": rewardPrefix, "type": "safe", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "service": plainService, "maxAttempts": 4},
		{"name": "stream", "host": host, "pathPrefix": streamPrefix, "type": "stream", "resumable": true, "sticky": true, "timeoutMs": 60000, "targetLatencyMs": 500, "priority": 1, "service": modelService, "maxAttempts": 3},
	}
	b := object{"name": "batch", "host": host, "pathPrefix": batchPrefix, "type": "rollout", "timeoutMs": 10000, "targetLatencyMs": 500, "priority": 1, "service": modelService, "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500, "singleVersion": false, "sticky": true, "resumable": true}
	for k, v := range batch {
		b[k] = v
	}
	routes = append(routes, b)
	g.store.put("config", "main", object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": plainService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": modelService, "healthPath": "/healthz", "maxConns": 170, "protocol": "h1", "tls": false, "engine": object{"slots": 16, "kvCapacity": 86672, "models": []object{{"name": model}}}},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
