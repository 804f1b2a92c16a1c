# Plots the p99 time to first token against load, with reports 1 s old.
#   build/bench_policy_latency > latency.txt
#   gnuplot -e "workers=20; queue=0" bench/plot_latency.gp
if (!exists("workers")) workers = 20
if (!exists("queue")) queue = 0
set terminal pngcairo size 800,500
set output sprintf("latency-%d-%d.png", workers, queue)
set xlabel "load"
set ylabel "time to first token, p99, ms"
set key left top
rows(name) = sprintf("< awk '$1 == %d && $2 == %d && $4 == \"1.0\" && $5 == 1 && index($0, \"%s\") {print $3, $(NF-2)}' latency.txt", workers, queue, name)
plot rows("central queue") with linespoints title "central queue", \
     rows("random") with linespoints title "random", \
     rows("round robin") with linespoints title "round robin", \
     rows("two choices") with linespoints title "two choices", \
     rows("eight choices") with linespoints title "eight choices", \
     rows("eight and affinity") with linespoints title "eight and affinity"
