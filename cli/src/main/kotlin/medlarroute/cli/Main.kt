package medlarroute.cli

fun main(args: Array<String>) {
    println("medlarroute ${args.joinToString(" ")}")
}
