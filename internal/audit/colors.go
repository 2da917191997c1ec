package audit

import "image/color"

// lineColors are the line colors of charts. People with color vision deficiency can tell them apart.
var lineColors = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{0, 0, 0, 255},
}
