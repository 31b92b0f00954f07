// What all members of cluster louis are told.
cluster: "louis"
members: {g1: "127.0.0.1:7101", g2: "127.0.0.1:7102", g3: "127.0.0.1:7103"}
clusters: {ebene: ["127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"]}
times: {election: 1s, heartbeat: 150ms, stale: 3s}
terms: {remember: 15m, lease: 10s, grace: 1s, cold: 5s, cold_share: 0.5}
