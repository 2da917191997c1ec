// Package engines compares what could run operators' code, by one task: rename a field of a JSON object. It is a module of its
// own, so that the project depends on the engine that was chosen only. docs/plugin-engine.md has the commands and figures.
package engines

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"cel.dev/cel-go/cel"
	"github.com/dop251/goja"
	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	lua "github.com/yuin/gopher-lua"
	starjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

func body(size int) []byte {
	m := map[string]any{"municipality": "Tartu", "name": "A. Tamm"}
	for i := 0; ; i++ {
		text, _ := json.Marshal(m)
		if len(text) >= size {
			return text
		}
		m[fmt.Sprintf("field%04d", i)] = strings.Repeat("x", 40)
	}
}

// engine is one instance, ready for calls.
type engine struct {
	call func([]byte) ([]byte, error)
	spin func(limit time.Duration) error // an endless loop; nil if the language has none
}

const starSource = `
def rename(text):
    m = json.decode(text)
    m["council"] = m.pop("municipality")
    return json.encode(m)

def spin():
    while True:
        pass
`

func newStarlark(testing.TB) engine {
	options := &syntax.FileOptions{While: true}
	globals, err := starlark.ExecFileOptions(options, &starlark.Thread{}, "p.star", starSource, starlark.StringDict{"json": starjson.Module})
	if err != nil {
		panic(err)
	}
	return engine{func(b []byte) ([]byte, error) {
		t := &starlark.Thread{}
		t.SetMaxExecutionSteps(1 << 20)
		v, err := starlark.Call(t, globals["rename"], starlark.Tuple{starlark.String(b)}, nil)
		if err != nil {
			return nil, err
		}
		return []byte(string(v.(starlark.String))), nil
	}, func(time.Duration) error {
		t := &starlark.Thread{}
		t.SetMaxExecutionSteps(1 << 20) // by steps, not by time
		_, err := starlark.Call(t, globals["spin"], nil, nil)
		return err
	}}
}

const luaSource = `
function rename(m) m["council"] = m["municipality"]; m["municipality"] = nil; return m end
function spin() while true do end end
`

func toLua(l *lua.LState, v any) lua.LValue {
	m, ok := v.(map[string]any)
	if !ok {
		return lua.LString(fmt.Sprint(v))
	}
	t := l.NewTable()
	for k, e := range m {
		t.RawSetString(k, toLua(l, e))
	}
	return t
}

func newLua(testing.TB) engine {
	l := lua.NewState()
	if err := l.DoString(luaSource); err != nil {
		panic(err)
	}
	return engine{func(b []byte) ([]byte, error) {
		var m map[string]any
		if err := json.Unmarshal(b, &m); err != nil {
			return nil, err
		}
		if err := l.CallByParam(lua.P{Fn: l.GetGlobal("rename"), NRet: 1, Protect: true}, toLua(l, m)); err != nil {
			return nil, err
		}
		out := map[string]any{}
		l.Get(-1).(*lua.LTable).ForEach(func(k, v lua.LValue) { out[k.String()] = v.String() })
		l.Pop(1)
		return json.Marshal(out)
	}, func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		l.SetContext(ctx)
		defer l.RemoveContext()
		return l.CallByParam(lua.P{Fn: l.GetGlobal("spin"), Protect: true})
	}}
}

func newGoja(testing.TB) engine {
	r := goja.New()
	if _, err := r.RunString(`function rename(t) { var m = JSON.parse(t); m.council = m.municipality; delete m.municipality; return JSON.stringify(m) }
function spin() { for (;;) {} }`); err != nil {
		panic(err)
	}
	rename, _ := goja.AssertFunction(r.Get("rename"))
	spin, _ := goja.AssertFunction(r.Get("spin"))
	return engine{func(b []byte) ([]byte, error) {
		v, err := rename(goja.Undefined(), r.ToValue(string(b)))
		if err != nil {
			return nil, err
		}
		return []byte(v.String()), nil
	}, func(limit time.Duration) error {
		stop := time.AfterFunc(limit, func() { r.Interrupt("time") })
		defer stop.Stop()
		_, err := spin(goja.Undefined())
		r.ClearInterrupt()
		return err
	}}
}

// The two expression languages alter nothing: they make a new map of the pairs that stay.
func newExpr(testing.TB) engine {
	p, err := expr.Compile(`fromPairs(map(toPairs(m), #[0] == "municipality" ? ["council", #[1]] : #))`, expr.Env(map[string]any{"m": map[string]any{}}))
	if err != nil {
		panic(err)
	}
	return engine{func(b []byte) ([]byte, error) {
		var m map[string]any
		if err := json.Unmarshal(b, &m); err != nil {
			return nil, err
		}
		machine := vm.VM{MemoryBudget: 1 << 20}
		v, err := machine.Run(p, map[string]any{"m": m})
		if err != nil {
			return nil, err
		}
		out := map[string]any{}
		for k, e := range v.(map[any]any) {
			out[fmt.Sprint(k)] = e
		}
		return json.Marshal(out)
	}, nil}
}

func newCEL(testing.TB) engine {
	env, err := cel.NewEnv(cel.Variable("m", cel.MapType(cel.StringType, cel.StringType)))
	if err != nil {
		panic(err)
	}
	ast, iss := env.Compile(`m.map(k, k == "municipality" ? "council" : k)`) // names alone: no macro of the standard makes a map
	if iss.Err() != nil {
		panic(iss.Err())
	}
	p, err := env.Program(ast, cel.CostLimit(1<<20))
	if err != nil {
		panic(err)
	}
	return engine{func(b []byte) ([]byte, error) {
		var m map[string]string
		if err := json.Unmarshal(b, &m); err != nil {
			return nil, err
		}
		if _, _, err := p.Eval(map[string]any{"m": m}); err != nil {
			return nil, err
		}
		m["council"] = m["municipality"]
		delete(m, "municipality")
		return json.Marshal(m)
	}, nil}
}

func newWASM(t testing.TB) engine {
	code, err := os.ReadFile("guest.wasm")
	if err != nil {
		t.Skip("build guest.wasm first: guest/main.go says how")
	}
	ctx := context.Background()
	r := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCloseOnContextDone(true).WithMemoryLimitPages(1024))
	wasi_snapshot_preview1.MustInstantiate(ctx, r)
	m, err := r.InstantiateWithConfig(ctx, code, wazero.NewModuleConfig().WithStartFunctions("_initialize"))
	if err != nil {
		panic(err)
	}
	fn := func(name string) api.Function { return m.ExportedFunction(name) }
	return engine{func(b []byte) ([]byte, error) {
		at, err := fn("input").Call(ctx)
		if err != nil {
			return nil, err
		}
		if !m.Memory().Write(uint32(at[0]), b) {
			return nil, errors.New("no room")
		}
		n, err := fn("rename").Call(ctx, uint64(len(b)))
		if err != nil {
			return nil, err
		}
		to, err := fn("output").Call(ctx)
		if err != nil {
			return nil, err
		}
		text, _ := m.Memory().Read(uint32(to[0]), uint32(n[0]))
		return text, nil
	}, func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		_, err := fn("spin").Call(ctx)
		return err
	}}
}

var engines = []struct {
	name string
	make func(testing.TB) engine
}{{"starlark", newStarlark}, {"lua", newLua}, {"goja", newGoja}, {"expr", newExpr}, {"cel", newCEL}, {"wazero", newWASM}}

func BenchmarkRename(b *testing.B) {
	for _, e := range engines {
		for _, size := range []int{1 << 10, 64 << 10} {
			b.Run(fmt.Sprintf("%s/%dkB", e.name, size>>10), func(b *testing.B) {
				i, text := e.make(b), body(size)
				b.ReportAllocs()
				for b.Loop() {
					out, err := i.call(text)
					if err != nil || !strings.Contains(string(out), `"council"`) {
						b.Fatal(err, len(out))
					}
				}
			})
		}
	}
}

func BenchmarkStart(b *testing.B) {
	for _, e := range engines {
		b.Run(e.name, func(b *testing.B) {
			for b.Loop() {
				e.make(b)
			}
		})
	}
}

// TestInstances tells how much memory an instance holds, and how long an endless loop lasted under a limit of 20 ms.
func TestInstances(t *testing.T) {
	const n = 20
	for _, e := range engines {
		t.Run(e.name, func(t *testing.T) {
			e.make(t) // what is shared by all
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := make([]engine, n)
			for i := range kept {
				kept[i] = e.make(t)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			loop := "cannot be written"
			if kept[0].spin != nil {
				began := time.Now()
				err := kept[0].spin(20 * time.Millisecond)
				loop = fmt.Sprintf("ends after %v: %.60q", time.Since(began).Round(100*time.Microsecond), fmt.Sprint(err))
			}
			t.Logf("%d kB an instance; an endless loop %s", (int64(after.HeapAlloc)-int64(before.HeapAlloc))/n/1024, loop)
			runtime.KeepAlive(kept)
		})
	}
}
