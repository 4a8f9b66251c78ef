package bench
import ("testing";"context";"os";"strings";"bytes";"sort";"fmt";"time";"masticturn/examples";"masticturn/internal/config";"masticturn/internal/steering";"masticturn/internal/bench/cluster")
func TestDbgSteer(t *testing.T){
	text,_ := examples.Document("estiba"); doc,_ := config.Parse(text)
	sc,_ := steeringScenarioOf("steady")
	d,_ := steeringDocument(doc, sc, steering.PolicyBroker)
	c, err := cluster.New(context.Background(), cluster.Options{Document:d, Start:StartDaemon, Seed:1, Sigma:.5, QueueLimit:2, ColdFactor:3, KeepLogs:true})
	if err!=nil {t.Fatal(err)}
	defer c.Close()
	l := &steeringLoad{opts: SteeringOptions{Load:0.5}, sc: sc, cluster: c, region: d.Regions[0].Name}
	l.run(context.Background())
	buckets := map[int][]float64{}
	for _, n := range c.Notes.Tries() { if n.Class=="officer-read" { k := int(n.Started.Sub(l.began)/(500*time.Millisecond)); buckets[k]=append(buckets[k], float64(n.Ended.Sub(n.Started))/1e6) } }
	for k:=0;k<24;k++ { b:=buckets[k]; sort.Float64s(b); if len(b)>0 { fmt.Fprintf(os.Stderr,"%4dms n %d p50 %.1f p90 %.1f p99 %.1f max %.1f\n", k*500, len(b), b[len(b)/2], b[len(b)*9/10], b[len(b)*99/100], b[len(b)-1]) } }
	ex := map[string][]float64{}
	for _, r := range c.Log.Records() { ex["service"]=append(ex["service"], float64(r.Finished.Sub(r.Started))/1e6); ex["queue"]=append(ex["queue"], float64(r.Started.Sub(r.Arrived))/1e6) }
	for k,b := range ex { sort.Float64s(b); fmt.Fprintf(os.Stderr,"%s p50 %.1f p90 %.1f p99 %.1f max %.1f\n", k, b[len(b)/2], b[len(b)*9/10], b[len(b)*99/100], b[len(b)-1]) }
	for _, vm := range c.VMs { var b bytes.Buffer; vm.Metrics().WritePrometheus(&b)
		for _, line := range strings.Split(b.String(),"\n") { if strings.Contains(line,"dropped")||strings.Contains(line,"refused") { fmt.Fprintln(os.Stderr, vm.Host.Name, line) } }
	}
}
