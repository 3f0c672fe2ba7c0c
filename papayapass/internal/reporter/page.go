package reporter

import (
	"bytes"
	"html/template"
	"time"

	"github.com/valyala/fasthttp"
)

// page is the HTML status page, which reloads itself every two seconds.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": func(millis int64) string { return time.UnixMilli(millis).UTC().Format("15:04:05.000") },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="2">
<title>papayapass {{.Cell}}</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:2rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}
th,td{padding:.2rem .8rem;text-align:left;border-bottom:1px solid #ddd}
td.n{text-align:right}.lost,.absent{color:#b00}.out,.draining{color:#a60}
</style></head><body>
<h1>{{.Cell}}</h1>
<p>seen by {{.Node}} in {{.Zone}}; coordinator {{.Coordinator}}, epoch {{.Epoch}}, table {{.TableVersion}},
configuration {{.ConfigurationVersion}}{{if .ZonesOut}}; zones out: {{range .ZonesOut}}{{.}} {{end}}{{end}}
{{if .ServersOut}}; backend servers out: {{range .ServersOut}}{{.}} {{end}}{{end}}
{{if .PlatformDown}}<strong class="lost">the platform does not answer</strong>{{end}}</p>
<table><tr><th>node</th><th>zone</th><th>pool</th><th>state</th><th>allowance</th><th>slots</th><th>slices</th><th>voter</th></tr>
{{range .Nodes}}<tr><td>{{.Node}}</td><td>{{.Zone}}</td><td>{{.Pool}}</td>
<td class="{{if .Lost}}lost{{else if .OutOfService}}out{{else}}{{.Server}}{{end}}">{{if .Lost}}lost{{else if .OutOfService}}out{{else}}{{.Server}}{{end}}</td>
<td class="n">{{.Allowance}}</td><td class="n">{{.Slots}}</td><td class="n">{{.Slices}}</td><td>{{if .Voter}}yes{{end}}</td></tr>
{{end}}</table>
<table><tr><th>divided pool</th><th>slices</th><th>without owner</th><th>moving</th></tr>
{{range .Pools}}<tr><td>{{.Pool}}</td><td class="n">{{.Slices}}</td><td class="n">{{.Unowned}}</td><td class="n">{{.Moving}}</td></tr>
{{end}}</table>
<h2>Recent moves</h2>
<table><tr><th>UTC</th><th>pool</th><th>slice</th><th>from</th><th>to</th><th>reason</th></tr>
{{range .Moves}}<tr><td>{{clock .AtUnixMillis}}</td><td>{{.Pool}}</td><td>{{.Start}}</td><td>{{.From}}</td><td>{{.To}}</td><td>{{.Reason}}</td></tr>
{{end}}</table>
</body></html>
`))

// writePage responds with the HTML status page.
func (r *Reporter) writePage(ctx *fasthttp.RequestCtx) {
	s, ok := r.current(ctx)
	if !ok {
		return
	}
	newestFirst(s.Moves)
	var b bytes.Buffer
	if err := page.Execute(&b, s); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(b.Bytes())
}

func newestFirst(moves []MoveStatus) {
	for i, j := 0, len(moves)-1; i < j; i, j = i+1, j-1 {
		moves[i], moves[j] = moves[j], moves[i]
	}
}
